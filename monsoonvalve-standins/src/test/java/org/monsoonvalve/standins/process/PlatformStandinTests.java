package org.monsoonvalve.standins.process;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.monsoonvalve.core.connection.Address;
import org.monsoonvalve.core.connection.EtcdPlatformStore;
import org.monsoonvalve.core.connection.HttpClient;
import org.monsoonvalve.core.connection.HttpServer;
import org.monsoonvalve.core.connection.PlatformStore;
import org.monsoonvalve.core.connection.StoreLease;
import org.monsoonvalve.core.connection.StorePosition;
import org.monsoonvalve.core.process.Settings;
import org.testng.Assert;
import org.testng.annotations.Test;

public class PlatformStandinTests {

	private static int freePort() throws IOException {
		try (ServerSocket free = new ServerSocket(0)) {
			return free.getLocalPort();
		}
	}

	@Test
	public void aWriteIsAnsweredWithItsOwnRevisionBesideOtherWrites() throws IOException {
		Address address = new Address("127.0.0.1", freePort());
		HttpServer standin = PlatformStandin.start(Settings.parseOrExit("standins", "Stands in for the platform.",
				List.of(StandinSettings.LISTEN), new String[] { "--listen", address.toString() }));
		try (HttpClient client = HttpClient.start(1000)) {
			EtcdPlatformStore store = EtcdPlatformStore.of(client, address, "test", 5000);
			for (int round = 0; round < 20; round++) {
				int number = round;
				List<CompletableFuture<PlatformStore.WriteResult>> writes = IntStream.range(0, 32)
					.mapToObj((i) -> store.write("keys/" + number + "/" + i, StorePosition.NONE, new byte[] { 1 },
							StoreLease.NONE))
					.toList();
				List<Long> told = writes.stream().map((write) -> write.join().revision()).sorted().toList();
				List<Long> kept = store.read("keys/" + number + "/", 0)
					.join()
					.entries()
					.stream()
					.map(PlatformStore.Entry::revision)
					.sorted()
					.toList();
				Assert.assertEquals(told, kept);
			}
		}
		finally {
			standin.close();
		}
	}

}
