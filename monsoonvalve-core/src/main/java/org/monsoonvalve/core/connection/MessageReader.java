package org.monsoonvalve.core.connection;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;

/**
 * Reads the HTTP/1.1 messages of one direction of a connection, strictly by
 * {@link MessageGrammar}. It keeps no more than one header section, whose size is
 * limited; content is passed on as it arrives. Not thread-safe.
 *
 * @author monsoonvalve maintainers
 */
final class MessageReader {

	private static final int INITIAL_LINE_BYTES = 128;

	/** Size of a line above which its buffer is not used for the next message. */
	private static final int MAX_REUSED_LINE_BYTES = 1024;

	/** Fields of a header section, well above what is sent. */
	static final int MAX_FIELDS = 200;

	/** Interim responses before a response. */
	private static final int MAX_INTERIM_RESPONSES = 16;

	private final Kind kind;

	private final int maxSectionBytes;

	private final Listener listener;

	private Section section = Section.START_LINE;

	private byte[] line = new byte[INITIAL_LINE_BYTES];

	private int lineBytes;

	private int sectionBytes;

	private boolean carriageReturn;

	private MessageGrammar.StartLine startLine;

	private List<Headers.Field> fields = new ArrayList<>();

	private int interimResponses;

	private long remainingContentBytes;

	private boolean ended;

	private MessageReader(Kind kind, int maxSectionBytes, Listener listener) {
		this.kind = kind;
		this.maxSectionBytes = maxSectionBytes;
		this.listener = listener;
	}

	/**
	 * Creates a reader of one response.
	 * @param maxSectionBytes the maximum size of the header section, of the trailer
	 * section and of the line before a chunk, in bytes
	 * @param listener receives the response
	 * @return the reader
	 */
	static MessageReader ofResponse(int maxSectionBytes, Listener listener) {
		return new MessageReader(Kind.RESPONSE, maxSectionBytes, listener);
	}

	/**
	 * Creates a reader of consecutive requests.
	 * @param maxSectionBytes the maximum size as for a response
	 * @param listener receives the requests
	 * @return the reader
	 */
	static MessageReader ofRequests(int maxSectionBytes, Listener listener) {
		return new MessageReader(Kind.REQUEST, maxSectionBytes, listener);
	}

	/**
	 * Reads bytes up to the end of the message.
	 * @param bytes the bytes that arrived; those after the end of the message remain
	 * @return {@code true} if the message has ended; a response without a stated length
	 * ends with the connection
	 * @throws ServingException with {@link FailureCode#MALFORMED_CONTENT} if the bytes
	 * are no message or a section is too large
	 */
	boolean read(ByteBuffer bytes) {
		this.ended = false;
		while (bytes.hasRemaining() && !this.ended) {
			switch (this.section) {
				case CONTENT, CHUNK -> readContent(bytes);
				case CONTENT_UNTIL_CLOSE -> this.listener.onContent(take(bytes, bytes.remaining()));
				default -> readLine(bytes);
			}
		}
		return this.ended;
	}

	/**
	 * Tells whether the last message has ended and no byte of another one has arrived.
	 * @return {@code true} between two messages
	 */
	boolean betweenMessages() {
		return this.section == Section.START_LINE && this.sectionBytes == 0;
	}

	/**
	 * Returns the memory that the unfinished message takes, besides its content.
	 * @return the approximate number of bytes
	 */
	int keptBytes() {
		return betweenMessages() ? 0 : this.line.length + 2 * this.sectionBytes;
	}

	private void readContent(ByteBuffer bytes) {
		int length = (int) Math.min(this.remainingContentBytes, bytes.remaining());
		this.remainingContentBytes -= length;
		this.listener.onContent(take(bytes, length));
		if (this.remainingContentBytes == 0) {
			if (this.section == Section.CHUNK) {
				enter(Section.CHUNK_END);
			}
			else {
				end();
			}
		}
	}

	private static byte[] take(ByteBuffer bytes, int length) {
		byte[] taken = new byte[length];
		bytes.get(taken);
		return taken;
	}

	private void readLine(ByteBuffer bytes) {
		while (bytes.hasRemaining()) {
			byte next = bytes.get();
			if (++this.sectionBytes > this.maxSectionBytes) {
				throw MessageGrammar
					.malformed("a section of the message is larger than " + this.maxSectionBytes + " bytes");
			}
			if (this.carriageReturn) {
				if (next != '\n') {
					throw MessageGrammar.malformed("a line contains a carriage return");
				}
				String text = new String(this.line, 0, this.lineBytes, StandardCharsets.ISO_8859_1);
				this.carriageReturn = false;
				this.lineBytes = 0;
				lineEnded(text);
				return;
			}
			if (next == '\n') {
				throw MessageGrammar.malformed("a line ends without a carriage return");
			}
			if (next == '\r') {
				this.carriageReturn = true;
			}
			else {
				append(next);
			}
		}
	}

	private void append(byte next) {
		if (this.lineBytes == this.line.length) {
			this.line = Arrays.copyOf(this.line, 2 * this.line.length);
		}
		this.line[this.lineBytes++] = next;
	}

	private void lineEnded(String text) {
		switch (this.section) {
			case START_LINE -> startLineEnded(text);
			case FIELDS -> {
				if (text.isEmpty()) {
					headEnded();
				}
				else {
					addField(text);
				}
			}
			case CHUNK_SIZE -> {
				this.remainingContentBytes = MessageGrammar.chunkSize(text);
				enter((this.remainingContentBytes == 0) ? Section.TRAILERS : Section.CHUNK);
			}
			case CHUNK_END -> {
				if (!text.isEmpty()) {
					throw MessageGrammar.malformed("a chunk is longer than its size");
				}
				enter(Section.CHUNK_SIZE);
			}
			default -> {
				if (text.isEmpty()) {
					end();
				}
				else {
					MessageGrammar.field(text);
				}
			}
		}
	}

	private void startLineEnded(String text) {
		// Some callers end the content of a request with an empty line.
		if (this.kind == Kind.REQUEST && text.isEmpty()) {
			return;
		}
		this.startLine = this.kind.parse(text);
		this.section = Section.FIELDS;
	}

	private void addField(String text) {
		if (this.fields.size() >= MAX_FIELDS) {
			throw MessageGrammar.malformed("the message has more than " + MAX_FIELDS + " fields");
		}
		this.fields.add(MessageGrammar.field(text));
	}

	private void headEnded() {
		Headers headers = new Headers(this.fields);
		int status = this.startLine.status();
		boolean chunked = MessageGrammar.chunked(this.startLine, headers);
		OptionalLong length = MessageGrammar.contentLength(headers);
		if (this.kind.interim(status)) {
			if (++this.interimResponses > MAX_INTERIM_RESPONSES) {
				throw MessageGrammar.malformed("more than " + MAX_INTERIM_RESPONSES + " interim responses");
			}
			begin();
			return;
		}
		boolean contentPossible = this.kind.mayHaveContent(status) && this.listener.mayHaveContent();
		boolean untilClose = contentPossible && !chunked && length.isEmpty() && this.kind == Kind.RESPONSE;
		this.listener.onHead(status, headers, untilClose);
		this.remainingContentBytes = length.orElse(0);
		if (untilClose) {
			enter(Section.CONTENT_UNTIL_CLOSE);
		}
		else if (contentPossible && chunked) {
			enter(Section.CHUNK_SIZE);
		}
		else if (contentPossible && this.remainingContentBytes > 0) {
			enter(Section.CONTENT);
		}
		else {
			end();
		}
	}

	private void enter(Section next) {
		this.section = next;
		this.sectionBytes = 0;
	}

	private void begin() {
		enter(Section.START_LINE);
		if (this.line.length > MAX_REUSED_LINE_BYTES) {
			this.line = new byte[INITIAL_LINE_BYTES];
		}
		this.fields = new ArrayList<>();
	}

	private void end() {
		begin();
		this.ended = true;
	}

	/**
	 * Receives the parts of a message.
	 */
	interface Listener {

		/**
		 * Called when a header section has been read.
		 * @param status the status of a response, 0 for a request
		 * @param headers the header fields
		 * @param untilClose whether the content ends with the connection
		 */
		void onHead(int status, Headers headers, boolean untilClose);

		/**
		 * Called with a part of the content.
		 * @param part the bytes
		 */
		void onContent(byte[] part);

		/**
		 * Tells whether the message may have content.
		 * @return {@code false} for the response to a {@code HEAD} request
		 */
		default boolean mayHaveContent() {
			return true;
		}

	}

	private enum Section {

		START_LINE, FIELDS, CONTENT, CONTENT_UNTIL_CLOSE, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS

	}

	private enum Kind {

		REQUEST {

			@Override
			MessageGrammar.StartLine parse(String line) {
				return MessageGrammar.requestLine(line);
			}

			@Override
			boolean interim(int status) {
				return false;
			}

			@Override
			boolean mayHaveContent(int status) {
				return true;
			}

		},

		RESPONSE {

			@Override
			MessageGrammar.StartLine parse(String line) {
				return MessageGrammar.statusLine(line);
			}

			@Override
			boolean interim(int status) {
				if (status == SWITCHING_PROTOCOLS) {
					throw MessageGrammar.malformed("the response switches to another protocol");
				}
				return status < MIN_FINAL_STATUS;
			}

			@Override
			boolean mayHaveContent(int status) {
				return status != NO_CONTENT && status != NOT_MODIFIED;
			}

		};

		private static final int SWITCHING_PROTOCOLS = 101;

		private static final int MIN_FINAL_STATUS = 200;

		private static final int NO_CONTENT = 204;

		private static final int NOT_MODIFIED = 304;

		abstract MessageGrammar.StartLine parse(String line);

		// Whether another response to the same request follows.
		abstract boolean interim(int status);

		abstract boolean mayHaveContent(int status);

	}

}
