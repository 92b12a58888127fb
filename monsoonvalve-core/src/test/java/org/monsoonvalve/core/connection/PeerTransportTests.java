package org.monsoonvalve.core.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonvalve.core.process.Codec;
import org.monsoonvalve.core.process.SmallHeap;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public class PeerTransportTests {

	private static final Address FIRST = Address.of("127.0.0.1:19801");

	private static final Address SECOND = Address.of("127.0.0.1:19802");

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

	private PeerTransport first;

	private PeerTransport second;

	private volatile CompletableFuture<PeerFrame> nextReply;

	@BeforeClass
	public void start() {
		this.first = PeerTransport.start(FIRST, this.timer,
				(frame) -> CompletableFuture.completedFuture(new PeerFrame.Ack()));
		this.second = PeerTransport.start(SECOND, this.timer, (frame) -> this.nextReply);
	}

	@AfterClass
	public void stop() {
		this.first.close();
		this.second.close();
		this.timer.shutdownNow();
	}

	@Test
	public void carriesLargeDocumentsInBothDirections() {
		PeerFrame.Document document = new PeerFrame.Document("d", 7, new byte[100_000]);
		this.nextReply = CompletableFuture.completedFuture(new PeerFrame.Push(List.of(document)));
		PeerFrame reply = this.first.ask(SECOND, new PeerFrame.Push(List.of(document)), 2000).join();
		Assert.assertEquals(((PeerFrame.Push) reply).documents().get(0).bytes().length, 100_000);
	}

	@Test
	public void aLateReplyDoesNotReachALaterRequest() {
		CompletableFuture<PeerFrame> lateReply = new CompletableFuture<>();
		this.nextReply = lateReply;
		CompletableFuture<PeerFrame> timedOut = this.first.ask(SECOND, new PeerFrame.SlotRelease("1"), 200);
		Assert.assertThrows(CompletionException.class, timedOut::join);
		this.nextReply = CompletableFuture.completedFuture(new PeerFrame.SlotReply("right"));
		CompletableFuture<PeerFrame> next = this.first.ask(SECOND, new PeerFrame.SlotRelease("2"), 2000);
		lateReply.complete(new PeerFrame.SlotReply("wrong"));
		Assert.assertEquals(next.join(), new PeerFrame.SlotReply("right"));
	}

	@Test
	public void malformedFramesCostTheirConnectionOnly() throws IOException {
		byte[][] malformed = { { 0, 0, 0, 4, 1, 2, 3, 4 }, { (byte) 0xff, 0, 0, 0, 1 }, { 0, 0, 0, 0 },
				{ 0, 0, 0, 3, (byte) 0x93, 1, (byte) 0xc2 } };
		for (byte[] bytes : malformed) {
			try (Socket socket = new Socket(SECOND.host(), SECOND.port())) {
				socket.setSoTimeout(2000);
				socket.getOutputStream().write(bytes);
				Assert.assertEquals(socket.getInputStream().read(), -1, "the connection is closed");
			}
		}
		this.nextReply = CompletableFuture.completedFuture(new PeerFrame.SlotReply("after"));
		Assert.assertEquals(this.first.ask(SECOND, new PeerFrame.SlotRelease("3"), 2000).join(),
				new PeerFrame.SlotReply("after"));
	}

	// A process that is killed resets its connections; its peers must not wait for the
	// timeout.
	@Test
	public void aRequestFailsAtOnceWhenItsConnectionIsClosed() throws IOException {
		try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			CompletableFuture<PeerFrame> reply = this.first.ask(new Address("127.0.0.1", peer.getLocalPort()),
					new PeerFrame.SlotRelease("4"), 30_000);
			Socket accepted = peer.accept();
			accepted.getInputStream().read();
			accepted.close();
			Assert.assertThrows(ExecutionException.class, () -> reply.get(3, TimeUnit.SECONDS));
		}
	}

	// Closed connections to peers that had gone were kept for good.
	@Test
	public void connectionsToPeersThatHaveGoneAreForgotten() throws Exception {
		int before = this.first.connectedPeers();
		for (int i = 0; i < 5; i++) {
			Address address;
			try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
				address = new Address("127.0.0.1", peer.getLocalPort());
				CompletableFuture<PeerFrame> reply = this.first.ask(address, new PeerFrame.SlotRelease("5"), 30_000);
				peer.accept().close();
				Assert.assertThrows(ExecutionException.class, () -> reply.get(3, TimeUnit.SECONDS));
			}
			CompletableFuture<PeerFrame> refused = this.first.ask(address, new PeerFrame.SlotRelease("6"), 3000);
			Assert.assertThrows(ExecutionException.class, () -> refused.get(3, TimeUnit.SECONDS));
		}
		Assert.assertEquals(this.first.connectedPeers(), before);
	}

	// Guards against peers whose unfinished or unread frames together exhaust the heap.
	@Test
	public void framesOfManyPeersFitASmallHeap() throws Exception {
		Assert.assertEquals(SmallHeap.run(ManyPeers.class, 48), "answered");
	}

	/**
	 * Peers of which half send a part of a large frame, and half don't read the reply.
	 */
	public static final class ManyPeers {

		private static final int PEERS = 120;

		private static final int QUESTIONS = 20;

		private static final byte[] FRAME_START = { 0, 0x40, 0, 0 };

		private ManyPeers() {
		}

		public static void main(String[] arguments) throws Exception {
			ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
			Address address = new Address("127.0.0.1", freePort());
			PeerFrame large = new PeerFrame.Push(List.of(new PeerFrame.Document("d", 7, new byte[1_000_000])));
			PeerTransport.start(address, timer,
					(frame) -> CompletableFuture.completedFuture((frame instanceof PeerFrame.Ack) ? frame : large));
			byte[] question = Codec.MESSAGE_PACK
				.encode(new PeerTransport.Envelope(1, false, new PeerFrame.SlotRelease("1")));
			List<Socket> peers = new ArrayList<>();
			for (int i = 0; i < PEERS; i++) {
				Socket peer = new Socket(address.host(), address.port());
				peers.add(peer);
				try {
					if (i % 2 == 0) {
						peer.getOutputStream().write(FRAME_START);
						peer.getOutputStream().write(new byte[500_000]);
					}
					for (int j = 0; i % 2 == 1 && j < QUESTIONS; j++) {
						peer.getOutputStream().write(ByteBuffer.allocate(4).putInt(question.length).array());
						peer.getOutputStream().write(question);
					}
				}
				catch (SocketException ex) {
					// The transport has closed the connection.
					peer.close();
				}
			}
			TimeUnit.MILLISECONDS.sleep(500);
			PeerTransport asking = PeerTransport.start(new Address("127.0.0.1", freePort()), timer,
					(frame) -> CompletableFuture.completedFuture(frame));
			System.out.print(asking.ask(address, new PeerFrame.Ack(), 10_000)
				.handle((reply, failure) -> (reply instanceof PeerFrame.Ack) ? "answered" : String.valueOf(failure))
				.join());
			System.exit(0);
		}

		private static int freePort() throws IOException {
			try (ServerSocket socket = new ServerSocket(0)) {
				return socket.getLocalPort();
			}
		}

	}

}
