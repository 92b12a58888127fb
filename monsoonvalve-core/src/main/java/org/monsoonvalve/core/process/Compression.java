package org.monsoonvalve.core.process;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Compresses documents with gzip for transfer between processes.
 *
 * @author monsoonvalve maintainers
 */
public final class Compression {

	// Bounds the memory that a received document can allocate.
	private static final int MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024;

	private Compression() {
	}

	/**
	 * Compresses bytes.
	 * @param plain the uncompressed bytes
	 * @return the compressed bytes
	 */
	public static byte[] compress(byte[] plain) {
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		try (GZIPOutputStream output = new GZIPOutputStream(compressed)) {
			output.write(plain);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return compressed.toByteArray();
	}

	/**
	 * Decompresses bytes.
	 * @param compressed the compressed bytes
	 * @return the uncompressed bytes
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if the bytes
	 * are not valid gzip data or decompress to more than 16 MiB
	 */
	public static byte[] decompress(byte[] compressed) {
		try (GZIPInputStream input = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
			byte[] plain = input.readNBytes(MAX_DECOMPRESSED_BYTES + 1);
			if (plain.length > MAX_DECOMPRESSED_BYTES) {
				throw new ServingException(FailureCode.MALFORMED_CONTENT,
						"decompressed content exceeds " + MAX_DECOMPRESSED_BYTES + " bytes");
			}
			return plain;
		}
		catch (IOException ex) {
			throw new ServingException(FailureCode.MALFORMED_CONTENT, ex.getMessage(), ex);
		}
	}

}
