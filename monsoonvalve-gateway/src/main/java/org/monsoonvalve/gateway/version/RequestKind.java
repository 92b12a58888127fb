package org.monsoonvalve.gateway.version;

/**
 * Tells how often a route's requests may run.
 *
 * @author monsoonvalve maintainers
 */
public enum RequestKind {

	/** Idempotent requests, which may run more than once. */
	SAFE {

		@Override
		public boolean repeatable(boolean resumable) {
			return true;
		}

	},

	/** Requests that are not idempotent, which may run at most once. */
	UNSAFE {

		@Override
		public boolean repeatable(boolean resumable) {
			return false;
		}

	},

	/** Event streams, which may run again only if they resume where they broke off. */
	STREAM {

		@Override
		public boolean repeatable(boolean resumable) {
			return resumable;
		}

	};

	/**
	 * Tells whether a request that may have run may be sent again.
	 * @param resumable whether the route allows streams to be resumed
	 * @return {@code true} if a second run is harmless
	 */
	public abstract boolean repeatable(boolean resumable);

}
