/**
 * Versioned configuration documents, the store of their latest revisions, their
 * validation and the configuration compiled from them. Code that transfers documents
 * belongs in {@code connection}, and their replication between peers in {@code process}.
 * Except for the store, instances live as long as one version of the configuration.
 */
package org.monsoonvalve.core.version;
