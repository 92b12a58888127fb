package org.monsoonvalve.entry.request;

import org.monsoonvalve.entry.version.Target;

/**
 * A target with what routing weighs.
 *
 * @author monsoonvalve maintainers
 * @param target the target
 * @param outstanding how many requests this process has running there
 * @param capacity how many this process may have running there
 * @param penalised whether it failed lately
 * @param cold whether it was last seen cold
 */
public record Candidate(Target target, int outstanding, int capacity, boolean penalised, boolean cold) {

}
