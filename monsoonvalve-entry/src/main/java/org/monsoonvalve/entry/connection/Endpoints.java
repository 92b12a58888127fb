package org.monsoonvalve.entry.connection;

import java.util.Collection;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.process.ElapsedClock;
import org.monsoonvalve.core.version.Inventory;

/**
 * The endpoints that this process has dealt with.
 *
 * @author monsoonvalve maintainers
 */
public final class Endpoints {

	private final HttpClient client;

	private final ElapsedClock clock;

	private final ConcurrentMap<Inventory.Vm, Endpoint> byVm = new ConcurrentHashMap<>();

	private Endpoints(HttpClient client, ElapsedClock clock) {
		this.client = client;
		this.clock = clock;
	}

	/**
	 * Creates a registry without endpoints.
	 * @param client opens connections
	 * @param clock measures the age of observations
	 * @return the registry
	 */
	public static Endpoints of(HttpClient client, ElapsedClock clock) {
		return new Endpoints(client, clock);
	}

	/**
	 * Returns the endpoint of a VM.
	 * @param vm the VM
	 * @return its endpoint
	 */
	public Endpoint get(Inventory.Vm vm) {
		return this.byVm.computeIfAbsent(vm, (key) -> Endpoint.of(key, this.client, this.clock));
	}

	/**
	 * Forgets endpoints whose VM the inventory no longer has.
	 * @param vms the inventory's VMs
	 */
	public void retain(Collection<Inventory.Vm> vms) {
		this.byVm.entrySet().removeIf((entry) -> {
			boolean gone = !vms.contains(entry.getKey()) && entry.getValue().outstanding().get() == 0;
			if (gone) {
				entry.getValue().closeIdle();
			}
			return gone;
		});
	}

}
