package org.monsoonvalve.gateway.process;

import java.io.ByteArrayOutputStream;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.monsoonvalve.core.connection.PeerFrame;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Compresses large values for peers. A process passes each change on to all processes of
 * its zone, and a configuration of some thousand routes, sent to twenty of them, would
 * occupy the link of a small VM for seconds. Each value is compressed once. One that
 * hardly shrinks is sent as it is, and so are those that shrink least if all together
 * would take too much memory. Confined to the control thread.
 *
 * @author monsoonvalve maintainers
 */
final class FactCompressor {

	/** Smaller values are sent as they are. */
	static final int MIN_BYTES = 1024;

	/** Largest size of all values in a frame; the store's limit for one is 1 MB. */
	static final int MAX_FRAME_VALUE_BYTES = 32 * 1024 * 1024;

	private static final int BUFFER_BYTES = 16 * 1024;

	/**
	 * Most bytes of compressed values that are kept; a configuration of the store's limit
	 * and the groups of each zone fit.
	 */
	private static final long MAX_KEPT_BYTES = 4 * 1024 * 1024;

	/** Largest size of a compressed value in proportion to the value. */
	private static final double MAX_RATIO = 0.9;

	private final Map<String, SentValue> latestByKey = new HashMap<>();

	/** The keys whose compressed values are kept, the one that shrinks least last. */
	private final NavigableSet<CompressedKey> compressedKeys = new TreeSet<>();

	private long keptBytes;

	/**
	 * Encodes a key for a peer.
	 * @param key the key
	 * @param position the position of its last change
	 * @param value the value, {@code null} if the key was removed
	 * @return the encoded key
	 */
	PeerFrame.Fact encode(String key, StorePosition position, byte[] value) {
		if (value == null || value.length < MIN_BYTES) {
			forget(key);
			return new PeerFrame.Fact(key, position.revision(), value, false, position.era());
		}
		SentValue latest = this.latestByKey.get(key);
		if (latest == null || !latest.position().equals(position)) {
			latest = keep(key, position, value.length, deflate(value));
		}
		return latest.deflated().isPresent()
				? new PeerFrame.Fact(key, position.revision(), latest.deflated().get(), true, position.era())
				: new PeerFrame.Fact(key, position.revision(), value, false, position.era());
	}

	private SentValue keep(String key, StorePosition position, int length, byte[] deflated) {
		forget(key);
		double ratio = (double) deflated.length / length;
		if (ratio > MAX_RATIO) {
			SentValue whole = SentValue.whole(position);
			this.latestByKey.put(key, whole);
			return whole;
		}
		SentValue compressed = new SentValue(position, Optional.of(deflated), ratio);
		this.latestByKey.put(key, compressed);
		this.compressedKeys.add(new CompressedKey(ratio, key));
		this.keptBytes += deflated.length;
		while (this.keptBytes > MAX_KEPT_BYTES) {
			dropCompressed(this.compressedKeys.last().key());
		}
		return compressed;
	}

	// The value is sent as it is from now on; compressing it again for each peer would
	// delay all that this process learns of the store.
	private void dropCompressed(String key) {
		SentValue dropped = this.latestByKey.get(key);
		forget(key);
		this.latestByKey.put(key, SentValue.whole(dropped.position()));
	}

	private void forget(String key) {
		SentValue value = this.latestByKey.remove(key);
		if (value != null && value.deflated().isPresent()) {
			this.compressedKeys.remove(new CompressedKey(value.ratio(), key));
			this.keptBytes -= value.deflated().get().length;
		}
	}

	/**
	 * Forgets the values of keys that don't exist any more.
	 * @param exists tells whether a key exists
	 */
	void retain(Predicate<String> exists) {
		List.copyOf(this.latestByKey.keySet()).stream().filter(exists.negate()).forEach(this::forget);
	}

	/**
	 * Returns the size of the compressed values that are kept.
	 * @return the number of bytes
	 */
	long keptBytes() {
		return this.keptBytes;
	}

	/**
	 * Creates a decoder for the values of one frame, whose total size is limited: a small
	 * frame may decompress to any size.
	 * @return the decoder
	 */
	static Decoder decoder() {
		return new Decoder();
	}

	private static byte[] deflate(byte[] value) {
		Deflater deflater = new Deflater();
		try {
			deflater.setInput(value);
			deflater.finish();
			ByteArrayOutputStream compressed = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				compressed.write(buffer, 0, deflater.deflate(buffer));
			}
			return compressed.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * How a value is sent.
	 *
	 * @param position the position of the value
	 * @param deflated the compressed value, empty if it is sent as it is
	 * @param ratio the size of the compressed value in proportion to the value
	 */
	private record SentValue(StorePosition position, Optional<byte[]> deflated, double ratio) {

		private static SentValue whole(StorePosition position) {
			return new SentValue(position, Optional.empty(), 1);
		}

	}

	/**
	 * A key whose compressed value is kept.
	 *
	 * @param ratio the size of the compressed value in proportion to the value
	 * @param key the key
	 */
	private record CompressedKey(double ratio, String key) implements Comparable<CompressedKey> {

		private static final Comparator<CompressedKey> ORDER = Comparator.comparingDouble(CompressedKey::ratio)
			.thenComparing(CompressedKey::key);

		@Override
		public int compareTo(CompressedKey other) {
			return ORDER.compare(this, other);
		}

	}

	/**
	 * Decodes the values of one frame.
	 */
	static final class Decoder {

		private int remainingBytes = MAX_FRAME_VALUE_BYTES;

		private Decoder() {
		}

		/**
		 * Decodes the value of a key from a peer.
		 * @param fact the encoded key
		 * @return the value, {@code null} if the key was removed
		 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if the
		 * value can't be decompressed or the values of the frame are larger than
		 * {@value #MAX_FRAME_VALUE_BYTES} bytes
		 */
		byte[] valueOf(PeerFrame.Fact fact) {
			byte[] value = fact.deflated() ? inflate(fact.value()) : fact.value();
			this.remainingBytes -= (value != null) ? value.length : 0;
			return value;
		}

		private byte[] inflate(byte[] compressed) {
			Inflater inflater = new Inflater();
			try {
				inflater.setInput(compressed);
				ByteArrayOutputStream value = new ByteArrayOutputStream();
				byte[] buffer = new byte[BUFFER_BYTES];
				while (!inflater.finished()) {
					int length = inflater.inflate(buffer);
					if (length == 0 || value.size() + length > this.remainingBytes) {
						throw new ServingException(FailureCode.MALFORMED_CONTENT,
								"a compressed value is incomplete, or the values of a frame are larger than "
										+ MAX_FRAME_VALUE_BYTES + " bytes");
					}
					value.write(buffer, 0, length);
				}
				return value.toByteArray();
			}
			catch (DataFormatException ex) {
				throw new ServingException(FailureCode.MALFORMED_CONTENT, "a compressed value is malformed", ex);
			}
			finally {
				inflater.end();
			}
		}

	}

}
