package org.monsoonvalve.gateway.process;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.request.FailureCode;
import org.monsoonvalve.core.request.ServingException;
import org.monsoonvalve.gateway.version.EndpointRecord;
import org.monsoonvalve.gateway.version.GroupMembership;
import org.monsoonvalve.gateway.version.GroupOrder;
import org.monsoonvalve.gateway.version.GroupState;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MemberInspectorTests {

	private final AtomicLong nowMillis = new AtomicLong();

	private final List<Question> questions = new ArrayList<>();

	private MemberInspector inspector;

	@BeforeMethod
	public void create() {
		this.nowMillis.set(10_000);
		this.questions.clear();
		EngineControl engines = new EngineControl() {

			@Override
			public CompletableFuture<GroupOrder.Outcome> order(EndpointRecord endpoint, GroupOrder order,
					long expected) {
				throw new AssertionError("an inspection gives no orders");
			}

			@Override
			public CompletableFuture<Long> orderCount(EndpointRecord endpoint, long timeoutMillis) {
				Question question = new Question(endpoint.id(), new CompletableFuture<>());
				MemberInspectorTests.this.questions.add(question);
				return question.answer();
			}

		};
		this.inspector = new MemberInspector(engines, Runnable::run, this.nowMillis::get,
				DecisionLog.start(Clock.systemUTC(), "gateway-1", (line) -> {
				}));
	}

	private static EndpointRecord vm(String id) {
		return new EndpointRecord(id, "engines", new Address("10.0.0.1", 80), "kano-a", 12, false, 0, 1, "d1",
				List.of(), List.of(), Optional.of(new GroupMembership("kano-a-9", 9, 0, GroupState.OPEN)), 1);
	}

	private void timeOut() {
		this.nowMillis.addAndGet(MemberInspector.PROBE_TIMEOUT_MILLIS);
		this.questions.remove(0)
			.answer()
			.completeExceptionally(new ServingException(FailureCode.UNREACHABLE, "no answer came"));
	}

	@Test
	public void aMemberThatLeavesTwoQuestionsUnansweredIsMissingLongBeforeItsRecordGoes() {
		EndpointRecord lost = vm("b");
		this.inspector.inspect(List.of(vm("a"), lost));
		this.questions.remove(0).answer().complete(3L);
		timeOut();
		Assert.assertFalse(this.inspector.missing(lost), "one answer may be lost");
		timeOut();
		Assert.assertTrue(this.inspector.missing(lost));
		Assert.assertFalse(this.inspector.missing(vm("a")));
		Assert.assertEquals(this.inspector.silentSinceMillis(lost.incarnation()), OptionalLong.of(10_000));
		Assert.assertTrue(this.questions.isEmpty(), "two questions suffice");
	}

	@Test
	public void aMissingMemberIsAskedAgainAndIsBackOnceItAnswers() {
		EndpointRecord lost = vm("b");
		this.inspector.inspect(List.of(lost));
		timeOut();
		timeOut();
		this.inspector.step(List.of(lost), Set.of());
		Assert.assertTrue(this.questions.isEmpty(), "the last question is recent");
		this.nowMillis.addAndGet(MemberInspector.PAUSE_MILLIS);
		this.inspector.step(List.of(lost), Set.of());
		this.questions.remove(0).answer().complete(3L);
		Assert.assertFalse(this.inspector.missing(lost));
		Assert.assertEquals(this.inspector.silentSinceMillis(lost.incarnation()), OptionalLong.empty());
	}

	@Test
	public void manyStalledRequestsOfAGroupCauseOneInspection() {
		for (int i = 0; i < 50; i++) {
			this.inspector.inspect(List.of(vm("a"), vm("b")));
		}
		Assert.assertEquals(this.questions.size(), 2);
	}

	@Test
	public void theSilenceOfAHeadIsKeptWhenItsRecordGoes() {
		EndpointRecord head = vm("a");
		this.inspector.inspect(List.of(head));
		timeOut();
		timeOut();
		this.inspector.step(List.of(), Set.of(head.incarnation()));
		Assert.assertTrue(this.inspector.silentSinceMillis(head.incarnation()).isPresent());
		this.inspector.step(List.of(), Set.of());
		Assert.assertTrue(this.inspector.silentSinceMillis(head.incarnation()).isEmpty());
	}

	private record Question(String endpoint, CompletableFuture<Long> answer) {

	}

}
