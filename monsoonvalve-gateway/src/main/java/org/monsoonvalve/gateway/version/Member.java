package org.monsoonvalve.gateway.version;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.StorePosition;

/**
 * A process of the system, as registered in the platform's store.
 *
 * @author monsoonvalve maintainers
 * @param name the process's name, unique in the system
 * @param zone its availability zone
 * @param peerAddress the address at which it accepts frames from its peers
 * @param registered the store's position of the registration, {@link StorePosition#NONE}
 * before it is stored; a process that restarts registers again
 * @param frames the tags of the frames that the process understands beyond those that all
 * builds know, empty for an older build
 */
public record Member(String name, String zone, Address peerAddress, StorePosition registered, List<String> frames) {

	/**
	 * Orders processes by the time for which they have been registered, the longest
	 * first.
	 */
	public static final Comparator<Member> BY_SENIORITY = Comparator.comparing(Member::registered)
		.thenComparing(Member::name);

	/**
	 * Creates a member; a {@code null} position becomes {@link StorePosition#NONE}, and
	 * {@code null} frames, as an older build registers itself without them, become empty.
	 * @throws NullPointerException if another component is {@code null}
	 */
	public Member {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(peerAddress, "peerAddress");
		registered = Objects.requireNonNullElse(registered, StorePosition.NONE);
		frames = (frames != null) ? List.copyOf(frames) : List.of();
	}

	/**
	 * Creates a member of an older build.
	 * @param name the process's name
	 * @param zone its availability zone
	 * @param peerAddress the address at which it accepts frames from its peers
	 * @param registered the store's position of the registration
	 */
	public Member(String name, String zone, Address peerAddress, StorePosition registered) {
		this(name, zone, peerAddress, registered, List.of());
	}

	/**
	 * Creates a member of this build that is not stored yet.
	 * @param name the process's name
	 * @param zone its availability zone
	 * @param peerAddress the address at which it accepts frames from its peers
	 * @return the member
	 */
	public static Member of(String name, String zone, Address peerAddress) {
		return new Member(name, zone, peerAddress, StorePosition.NONE, List.of(PeerFrame.DemandReport.TAG));
	}

	/**
	 * Returns a copy with the position of the stored registration.
	 * @param position the store's position
	 * @return the copy
	 */
	public Member registeredAt(StorePosition position) {
		return new Member(this.name, this.zone, this.peerAddress, position, this.frames);
	}

	/**
	 * Tells whether the process understands a frame that older builds don't know.
	 * @param tag the tag of the frame
	 * @return {@code true} if its registration names the frame
	 */
	public boolean understands(String tag) {
		return this.frames.contains(tag);
	}

}
