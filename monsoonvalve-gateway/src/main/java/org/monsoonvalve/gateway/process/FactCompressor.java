package org.monsoonvalve.gateway.process;

import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
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
 * occupy the link of a small VM for seconds. Each value is compressed once, unless many
 * others were in the meantime. Confined to the control thread.
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

	private final Map<String, CompressedValue> latestByKey = new LinkedHashMap<>();

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
		CompressedValue latest = this.latestByKey.get(key);
		if (latest == null || !latest.position().equals(position)) {
			latest = new CompressedValue(position, deflate(value));
			keep(key, latest);
		}
		return new PeerFrame.Fact(key, position.revision(), latest.bytes(), true, position.era());
	}

	private void keep(String key, CompressedValue value) {
		forget(key);
		this.latestByKey.put(key, value);
		this.keptBytes += value.bytes().length;
		while (this.keptBytes > MAX_KEPT_BYTES) {
			forget(this.latestByKey.keySet().iterator().next());
		}
	}

	private void forget(String key) {
		Optional.ofNullable(this.latestByKey.remove(key)).ifPresent((value) -> this.keptBytes -= value.bytes().length);
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

	private record CompressedValue(StorePosition position, byte[] bytes) {

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
