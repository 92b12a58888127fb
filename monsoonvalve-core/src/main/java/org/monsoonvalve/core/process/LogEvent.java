package org.monsoonvalve.core.process;

import org.jboss.logging.Logger.Level;

/**
 * Catalogue of numbered log events, documented for operators in {@code docs/events.md}.
 * The thousands of a number tell the subject: 1 the process, 2 the platform and other
 * connections, 3 documents, 4 requests and endpoints, 5 the controller, 6 the gateway.
 * The templates of the gateway's events take no arguments, since it logs their values as
 * separate fields.
 *
 * @author monsoonvalve maintainers
 */
public enum LogEvent {

	/** A program started. */
	STARTED(1001, Level.INFO, "%s %s started, callers at %s, peers at %s"),

	/** A program began its graceful shutdown. */
	DRAINING(1002, Level.INFO, "draining: readiness checks fail, listener closes in %d ms"),

	/** A program ended. */
	STOPPED(1003, Level.INFO, "stopped with %d requests in progress"),

	/** A background task failed; it runs again at its next period. */
	TASK_FAILED(1004, Level.WARN, "task %s failed: %s"),

	/** The process was paused. */
	PAUSED(1005, Level.WARN, "process was paused for %d ms"),

	/** A setting has an invalid value; the program does not start. */
	BAD_SETTING(1006, Level.ERROR, "%s"),

	/** A test setting disabled a mechanism. */
	MECHANISM_OFF(1007, Level.WARN, "mechanism %s is disabled by a test setting"),

	/** The platform stopped responding. */
	PLATFORM_LOST(2001, Level.WARN, "platform store does not respond: %s"),

	/** The platform responds again. */
	PLATFORM_BACK(2002, Level.INFO, "platform store responds again"),

	/** A peer message could not be handled. */
	PEER_FAILED(2003, Level.DEBUG, "peer %s failed: %s"),

	/** A pooled connection did not respond in time and was closed. */
	CONNECTION_SILENT(2004, Level.WARN, "connection to %s did not respond in time and was closed"),

	/** A newer document was applied. */
	DOCUMENT_IN_FORCE(3001, Level.INFO, "document %s revision %d was applied"),

	/** A received document can't be applied; the earlier revision stays in effect. */
	DOCUMENT_REFUSED(3002, Level.ERROR, "document %s revision %d can't be applied: %s"),

	/** An operator's change was accepted. */
	CHANGE_ACCEPTED(3003, Level.INFO, "change %s of %s by %s accepted as revision %d"),

	/** An operator's change was rejected because of a concurrent change. */
	CHANGE_CONFLICT(3004, Level.INFO, "change %s of %s by %s rejected: base revision %d, current revision %d"),

	/** A request failed after it was sent; its outcome is unknown. */
	REQUEST_LOST(4001, Level.WARN, "outcome of request %s to %s is unknown: %s"),

	/** A stream was resumed. */
	STREAM_RESUMED(4002, Level.INFO, "stream %s resumed after event %d at %s"),

	/** An endpoint was seen with a new incarnation. */
	ENDPOINT_RESTARTED(4003, Level.INFO, "endpoint %s has a new incarnation %s, cold: %s"),

	/** This entry became or stopped being the issuer of cold-start slots. */
	SLOT_ISSUER(4004, Level.INFO, "issuer of cold-start slots of %s: %s"),

	/** This controller became active. */
	CONTROLLER_ACTIVE(5001, Level.INFO, "controller is active for %s"),

	/** This controller is no longer active. */
	CONTROLLER_PASSIVE(5002, Level.INFO, "controller is passive for %s: %s"),

	/** A replica group was formed. */
	GROUP_FORMED(5003, Level.INFO, "group %s formed with fence %d of %s"),

	/** A replica group was dissolved. */
	GROUP_DISSOLVED(5004, Level.INFO, "group %s with fence %d dissolved: %s"),

	/** An order is sent to an engine. */
	ORDER_SENT(5005, Level.INFO, "order %s with fence %d sent to %s"),

	/** An engine rejected an order or did not respond to it. */
	ORDER_FAILED(5006, Level.WARN, "order %s with fence %d to %s failed: %s"),

	/** A VM was released from its former group. */
	VM_RELEASED(5007, Level.INFO, "VM %s was released: %s"),

	/** A gateway started. */
	GATEWAY_STARTED(6001, Level.INFO, "gateway started"),

	/** A gateway started to drain. */
	GATEWAY_DRAINING(6002, Level.INFO, "gateway is draining"),

	/** A gateway stopped. */
	GATEWAY_STOPPED(6003, Level.INFO, "gateway stopped"),

	/** A gateway reloaded its settings. */
	GATEWAY_RELOADED(6004, Level.INFO, "gateway reloaded its settings"),

	/** A gateway that stops ended the requests in progress with a failure. */
	REQUESTS_ENDED(6005, Level.WARN, "the grace time ended before all requests"),

	/** A value in the platform store can't be decoded. */
	FACT_REFUSED(6101, Level.WARN, "a value in the platform store can't be decoded"),

	/** A configuration was applied. */
	CONFIGURATION_IN_FORCE(6102, Level.INFO, "a configuration was applied"),

	/** Operators took an availability zone out of service. */
	ZONE_EVACUATED(6103, Level.INFO, "an availability zone is out of service"),

	/** The replica was rebuilt from a full read of the platform store. */
	FACTS_READ(6104, Level.INFO, "the whole platform store was read"),

	/** Store changes were received from a peer while the platform did not respond. */
	FACTS_FROM_PEER(6105, Level.INFO, "store changes were received from a peer"),

	/** An endpoint was added. */
	ENDPOINT_JOINED(6106, Level.INFO, "an endpoint was added"),

	/** An endpoint was removed. */
	ENDPOINT_LEFT(6107, Level.INFO, "an endpoint was removed"),

	/** An endpoint is suspected, or no longer suspected, of having failed. */
	ENDPOINT_SUSPECTED(6108, Level.WARN, "an endpoint is suspected of having failed"),

	/** The platform store stated a later era than before. */
	STORE_ERA(6109, Level.WARN, "the platform store is in a later era"),

	/** The replica was rebuilt from a store that was restored from an older copy. */
	STORE_RESTORED(6110, Level.WARN, "the platform store was restored from an older copy"),

	/** A configuration stayed in force against an older one in the store. */
	CONFIGURATION_KEPT(6111, Level.WARN, "a configuration is kept against an older one"),

	/** A record that the store had lost was written again. */
	RECORD_REWRITTEN(6112, Level.INFO, "a lost record was written again"),

	/** A request was rejected. */
	REQUEST_REFUSED(6201, Level.INFO, "a request was refused"),

	/** A request was sent to an endpoint. */
	REQUEST_SENT(6202, Level.INFO, "a request was sent"),

	/** A request was sent to another endpoint after an earlier attempt. */
	REQUEST_SENT_AGAIN(6203, Level.INFO, "a request was sent to another endpoint"),

	/** A request was answered. */
	REQUEST_ANSWERED(6204, Level.INFO, "a request was answered"),

	/** A request failed after it was sent. */
	REQUEST_FAILED(6205, Level.WARN, "a request failed"),

	/** A caller disconnected before its response was complete. */
	REQUEST_ABANDONED(6206, Level.INFO, "a caller disconnected"),

	/** The connection to an endpoint ended before its response was complete. */
	RESPONSE_LOST(6207, Level.WARN, "a response was lost"),

	/** An endpoint crashed before responses had begun. */
	ENDPOINT_CRASHED(6208, Level.WARN, "an endpoint crashed before responses had begun"),

	/** Requests with a part in their prompts are refused, as it crashed endpoints. */
	PROMPT_PART_BLOCKED(6209, Level.WARN, "a part of prompts is blocked"),

	/** Requests with a part that was blocked are sent again. */
	PROMPT_PART_CLEARED(6210, Level.INFO, "a part of prompts is no longer blocked"),

	/** An endpoint limits the requests per second that it accepts. */
	ENDPOINT_LIMITED(6211, Level.INFO, "an endpoint limits its requests"),

	/** An endpoint no longer limits its requests. */
	ENDPOINT_UNLIMITED(6212, Level.INFO, "an endpoint no longer limits its requests"),

	/** A request waits for a place at an endpoint. */
	REQUEST_QUEUED(6213, Level.INFO, "a request waits for a place"),

	/** A request that waited was sent, refused or given up by its caller. */
	REQUEST_DEQUEUED(6214, Level.INFO, "a request no longer waits"),

	/** Requests of a service and model are sent to another availability zone. */
	ZONE_SHARE_STARTED(6219, Level.INFO, "requests are sent to another availability zone"),

	/**
	 * Requests of a service and model are no longer sent to another availability zone.
	 */
	ZONE_SHARE_ENDED(6220, Level.INFO, "requests are no longer sent to another availability zone"),

	/** This process started or stopped planning the groups of an availability zone. */
	PLANNER_ROLE(6301, Level.INFO, "the planner role changed"),

	/** A group was planned. */
	GROUP_PLANNED(6302, Level.INFO, "a group was planned"),

	/** A group was removed from the plan. */
	GROUP_REMOVED(6303, Level.INFO, "a group was removed from the plan"),

	/** An order was answered by an engine. */
	ORDER_ANSWERED(6304, Level.INFO, "an order was answered"),

	/** An order got no usable response. */
	ORDER_UNANSWERED(6305, Level.WARN, "an order got no usable response"),

	/** A group member did not answer probes while its group's requests stalled. */
	MEMBER_MISSING(6306, Level.WARN, "a group member does not respond"),

	/** A member that did not respond answered a probe again. */
	MEMBER_BACK(6307, Level.INFO, "a group member responds again"),

	/** A group is closed to free its VMs for another model. */
	GROUP_PREEMPTED(6308, Level.INFO, "a group is preempted by another model"),

	/** The demand determines another division of a zone's VMs among models. */
	DIVISION_CHANGED(6309, Level.INFO, "the division of VMs among models changed"),

	/** The planner knows the demand from most processes of its zone. */
	DEMAND_KNOWN(6310, Level.INFO, "the demand of a zone is known"),

	/** The configured shares apply, as too few processes report their demand. */
	DEMAND_UNKNOWN(6311, Level.WARN, "the demand of a zone is not known"),

	/** A write of a zone's groups got no answer and may still take effect. */
	GROUPS_UNCERTAIN(6312, Level.WARN, "a write of planned groups got no answer");

	private final int number;

	private final Level level;

	private final String template;

	LogEvent(int number, Level level, String template) {
		this.number = number;
		this.level = level;
		this.template = template;
	}

	/**
	 * Returns the number that identifies the event in logs.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level at which the event is logged.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the template of the message.
	 * @return the template in the syntax of {@link String#format}
	 */
	public String template() {
		return this.template;
	}

}
