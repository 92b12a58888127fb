package org.monsoonvalve.entry.request;

/**
 * Time limits of requests.
 *
 * @author monsoonvalve maintainers
 * @param admissionMillis the longest wait for admission, in milliseconds
 * @param searchMillis the longest search for a target that is ready, in milliseconds
 * @param streamSilenceMillis the longest silence of a model's stream, in milliseconds
 * @param serviceMillis the longest time for a plain service's answer, in milliseconds
 */
public record RequestLimits(long admissionMillis, long searchMillis, long streamSilenceMillis, long serviceMillis) {

}
