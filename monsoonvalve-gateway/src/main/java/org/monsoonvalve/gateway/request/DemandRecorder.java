package org.monsoonvalve.gateway.request;

import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.monsoonvalve.admission.process.DemandMeter;
import org.monsoonvalve.admission.request.SlotTime;
import org.monsoonvalve.admission.version.ServedModel;
import org.monsoonvalve.gateway.version.EngineProfile;
import org.monsoonvalve.gateway.version.ModelProfile;

/**
 * Measures the demand of this process's callers for the models of batch-sensitive
 * engines. Confined to the event loop.
 *
 * @author monsoonvalve maintainers
 */
public final class DemandRecorder {

	private final LongSupplier clock;

	private final DemandMeter meter;

	/**
	 * Creates a recorder.
	 * @param clock returns the time in milliseconds
	 */
	DemandRecorder(LongSupplier clock) {
		this.clock = clock;
		this.meter = new DemandMeter(clock.getAsLong());
	}

	/**
	 * Counts a request, whether or not it will be served. Requests for models that the
	 * service doesn't have are not counted.
	 * @param request the request
	 */
	void arrived(RequestProfile request) {
		if (!request.batchSensitive() || request.model().isEmpty()) {
			return;
		}
		EngineProfile engine = request.service().engine().get();
		Optional<ModelProfile> model = engine.model(request.model().get());
		if (model.isPresent()) {
			this.meter.arrived(new ServedModel(request.service().name(), model.get().name()),
					SlotTime.millis(engine.timings(), request.size(), model.get().pace()), this.clock.getAsLong());
		}
	}

	/**
	 * Returns the present demand.
	 * @return the demand in slots by model, empty if there was never any
	 */
	public Map<ServedModel, Double> slots() {
		return this.meter.slots(this.clock.getAsLong());
	}

}
