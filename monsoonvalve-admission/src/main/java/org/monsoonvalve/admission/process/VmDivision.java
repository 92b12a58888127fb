package org.monsoonvalve.admission.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.monsoonvalve.admission.version.ModelGroups;

/**
 * Divides all VMs of a zone among models: each gets at least a minimum, and the rest is
 * divided in proportion to need, whether or not it suffices.
 *
 * @author monsoonvalve maintainers
 */
final class VmDivision {

	private static final int GROUPS_IN_SEVERAL_DOMAINS = 2;

	private VmDivision() {
	}

	/**
	 * Divides the VMs.
	 * @param models the models
	 * @param neededVms the VMs that each model needs, by name
	 * @param zoneVms the number of VMs
	 * @param domains the number of fabric domains that they are in
	 * @return the part of the VMs that each model gets, by name; the sum is 1
	 */
	static Map<String, Double> shares(List<ModelGroups> models, Map<String, Double> neededVms, int zoneVms,
			int domains) {
		Map<String, Double> minVms = minVms(models, zoneVms, domains);
		Map<String, Double> vms = new HashMap<>(minVms);
		Set<String> aboveMin = new HashSet<>(minVms.keySet());
		aboveMin.removeIf((model) -> neededVms.getOrDefault(model, 0.0) <= 0);
		boolean changed = true;
		while (changed && !aboveMin.isEmpty()) {
			double rest = zoneVms - sum(minVms, minVms.keySet()) + sum(minVms, aboveMin);
			double vmsPerNeed = rest / sum(neededVms, aboveMin);
			aboveMin.forEach((model) -> vms.put(model, vmsPerNeed * neededVms.get(model)));
			changed = aboveMin.removeIf((model) -> vms.get(model) < minVms.get(model));
			vms.replaceAll((model, count) -> aboveMin.contains(model) ? count : minVms.get(model));
		}
		double total = sum(vms, vms.keySet());
		vms.replaceAll((model, count) -> count / total);
		return vms;
	}

	private static double sum(Map<String, Double> values, Collection<String> keys) {
		return keys.stream().mapToDouble((key) -> values.getOrDefault(key, 0.0)).sum();
	}

	// A model needs groups in two domains to outlast the loss of one.
	private static Map<String, Double> minVms(List<ModelGroups> models, int zoneVms, int domains) {
		int oneGroupEach = models.stream().mapToInt(ModelGroups::groupVms).sum();
		boolean several = domains > 1 && GROUPS_IN_SEVERAL_DOMAINS * oneGroupEach <= zoneVms;
		Map<String, Double> minVms = new HashMap<>();
		models.forEach((model) -> minVms.put(model.model(),
				(double) model.groupVms() * (several ? GROUPS_IN_SEVERAL_DOMAINS : 1)));
		if (oneGroupEach > zoneVms) {
			minVms.replaceAll((model, vms) -> vms * zoneVms / oneGroupEach);
		}
		return minVms;
	}

}
