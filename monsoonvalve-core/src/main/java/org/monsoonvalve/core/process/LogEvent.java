package org.monsoonvalve.core.process;

import org.jboss.logging.Logger.Level;

/**
 * The catalogue of numbered log events, described for operators in
 * {@code docs/events.md}.
 *
 * @author monsoonvalve maintainers
 */
public enum LogEvent {

	/** A program started. */
	STARTED(1001, Level.INFO, "%s %s started, callers at %s, peers at %s"),

	/** A program began its graceful shutdown. */
	DRAINING(1002, Level.INFO, "draining: readiness fails now, listening ends in %d ms"),

	/** A program ended. */
	STOPPED(1003, Level.INFO, "stopped with %d requests in progress"),

	/** A background task failed; it runs again at its next period. */
	TASK_FAILED(1004, Level.WARN, "task %s failed: %s"),

	/** The process was paused. */
	PAUSED(1005, Level.WARN, "process was paused for %d ms"),

	/** A setting has a bad value; the program does not start. */
	BAD_SETTING(1006, Level.ERROR, "%s"),

	/** A test switch is on. */
	MECHANISM_OFF(1007, Level.WARN, "mechanism %s is switched off by a test setting"),

	/** The platform stopped answering. */
	PLATFORM_LOST(2001, Level.WARN, "platform store does not answer: %s"),

	/** The platform answers again. */
	PLATFORM_BACK(2002, Level.INFO, "platform store answers again"),

	/** A peer message could not be handled. */
	PEER_FAILED(2003, Level.DEBUG, "peer %s failed: %s"),

	/** A connection went silent. */
	CONNECTION_SILENT(2004, Level.WARN, "connection to %s went silent and was closed"),

	/** A newer document came into force. */
	DOCUMENT_IN_FORCE(3001, Level.INFO, "document %s revision %d is in force"),

	/** A received document can't be used; the earlier revision stays in force. */
	DOCUMENT_REFUSED(3002, Level.ERROR, "document %s revision %d can't be used: %s"),

	/** An operator's change was accepted. */
	CHANGE_ACCEPTED(3003, Level.INFO, "change %s of %s by %s accepted as revision %d"),

	/** An operator's change lost a race. */
	CHANGE_CONFLICT(3004, Level.INFO, "change %s of %s by %s refused: base revision %d, current %d"),

	/** A request failed after it was sent. */
	REQUEST_LOST(4001, Level.WARN, "request %s to %s has no known outcome: %s"),

	/** A stream was resumed. */
	STREAM_RESUMED(4002, Level.INFO, "stream %s resumed after event %d at %s"),

	/** An endpoint was seen with a new incarnation. */
	ENDPOINT_RESTARTED(4003, Level.INFO, "endpoint %s has a new incarnation %s, cold: %s"),

	/** This entry became or ceased to be the issuer of cold-start slots. */
	SLOT_ISSUER(4004, Level.INFO, "issuer of cold-start slots of %s: %s"),

	/** This controller became active. */
	CONTROLLER_ACTIVE(5001, Level.INFO, "controller is active for %s"),

	/** This controller is no longer active. */
	CONTROLLER_PASSIVE(5002, Level.INFO, "controller is passive for %s: %s"),

	/** A replica group was formed. */
	GROUP_FORMED(5003, Level.INFO, "group %s formed with fence %d of %s"),

	/** A replica group was dissolved. */
	GROUP_DISSOLVED(5004, Level.INFO, "group %s with fence %d dissolved: %s"),

	/** An order was given to an engine. */
	ORDER_SENT(5005, Level.INFO, "order %s with fence %d sent to %s"),

	/** An engine refused or missed an order. */
	ORDER_FAILED(5006, Level.WARN, "order %s with fence %d to %s failed: %s"),

	/** A VM has left its group for good. */
	VM_RELEASED(5007, Level.INFO, "VM %s was released: %s"),

	/** A gateway started. */
	GATEWAY_STARTED(6001, Level.INFO, "gateway started"),

	/** A gateway began to drain. */
	GATEWAY_DRAINING(6002, Level.INFO, "gateway drains"),

	/** A gateway ended. */
	GATEWAY_STOPPED(6003, Level.INFO, "gateway stopped"),

	/** A gateway read its settings again. */
	GATEWAY_RELOADED(6004, Level.INFO, "gateway read its settings again"),

	/** A value in the platform's store can't be decoded. */
	FACT_REFUSED(6101, Level.WARN, "a value in the store can't be decoded"),

	/** A configuration came into force. */
	CONFIGURATION_IN_FORCE(6102, Level.INFO, "a configuration is in force"),

	/** Operators took an availability zone out of service. */
	ZONE_EVACUATED(6103, Level.INFO, "an availability zone is out of service"),

	/** A copy of the store was read anew. */
	FACTS_READ(6104, Level.INFO, "the store was read anew"),

	/** Changes of the store came from a peer first. */
	FACTS_FROM_PEER(6105, Level.INFO, "changes came from a peer"),

	/** An endpoint came into use. */
	ENDPOINT_JOINED(6106, Level.INFO, "an endpoint came into use"),

	/** An endpoint is no longer used. */
	ENDPOINT_LEFT(6107, Level.INFO, "an endpoint is no longer used"),

	/** An endpoint's answers make it suspect, or no longer so. */
	ENDPOINT_SUSPECTED(6108, Level.WARN, "an endpoint is suspected"),

	/** A request was refused. */
	REQUEST_REFUSED(6201, Level.INFO, "a request was refused"),

	/** A request was sent to an endpoint. */
	REQUEST_SENT(6202, Level.INFO, "a request was sent"),

	/** A request is sent to another endpoint. */
	REQUEST_SENT_AGAIN(6203, Level.INFO, "a request is sent again"),

	/** A request was answered. */
	REQUEST_ANSWERED(6204, Level.INFO, "a request was answered"),

	/** A request failed after it was sent. */
	REQUEST_FAILED(6205, Level.WARN, "a request failed"),

	/** A caller left before its answer ended. */
	REQUEST_ABANDONED(6206, Level.INFO, "a caller left"),

	/** This process began or ceased to plan the groups of a zone. */
	PLANNER_ROLE(6301, Level.INFO, "the role of planner changed"),

	/** A group was planned. */
	GROUP_PLANNED(6302, Level.INFO, "a group was planned"),

	/** A group was removed from the plan. */
	GROUP_REMOVED(6303, Level.INFO, "a group was removed from the plan"),

	/** An order was answered by an engine. */
	ORDER_ANSWERED(6304, Level.INFO, "an order was answered"),

	/** An order got no usable answer. */
	ORDER_UNANSWERED(6305, Level.WARN, "an order was not answered"),

	/** A group's member left probes unanswered while its requests stood still. */
	MEMBER_MISSING(6306, Level.WARN, "a member is missing"),

	/** A missing member answered again. */
	MEMBER_BACK(6307, Level.INFO, "a missing member is back"),

	/** A group closes so that another model can have its VMs. */
	GROUP_PREEMPTED(6308, Level.INFO, "a group is preempted by another model");

	private final int number;

	private final Level level;

	private final String template;

	LogEvent(int number, Level level, String template) {
		this.number = number;
		this.level = level;
		this.template = template;
	}

	/**
	 * Returns the number that identifies the event.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the message's template.
	 * @return the template in the form of {@link String#format}
	 */
	public String template() {
		return this.template;
	}

}
