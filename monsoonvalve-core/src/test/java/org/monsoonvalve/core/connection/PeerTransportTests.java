package org.monsoonvalve.core.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

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

}
