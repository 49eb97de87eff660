/** One run with changes of the lease holder: real daemons in this process, with stand-ins of the store and the cloud API. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Gateway} from '@shallotpass/gateway/start-gateway.js';
import {findCloudRequestViolations, listReportedCounts} from '@shallotpass/platform/stand-ins/check-cloud-requests.js';
import {leaseTopic} from '@shallotpass/platform/stand-ins/keyed-log-stand-in.js';
import {
	type DaemonOptions, type PlatformFixture, sendRequest, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type Relay, type RelayMode, startRelay} from '@shallotpass/stand-ins/relay.js';
import {drawClockErrorMs, drawFault, injectLeaseFault} from './lease-faults.js';
import {makeRandomBeside} from './make-random-beside.js';

export type LeaseRunMode = 'odd' | 'plain' | 'calm';

export type LeaseRunOptions = {
	readonly mode: LeaseRunMode;
	readonly changes: number;
	/** Length of a run without changes. */
	readonly seconds: number;
	readonly seed: number;
};

export type LeaseRunFigures = {
	readonly seed: number;
	readonly daemons: number;
	readonly windowMs: number;
	/** Times that the lease was taken after the first. */
	readonly changes: number;
	/** What the run did, in order. */
	readonly steps: readonly string[];
	readonly violations: readonly string[];
	/** Usage reports that the cloud API received, repeats included. */
	readonly reports: number;
	/** Windows that were judged, of these without a report, and with other counts than the calls that were sent. Only judged where clocks are right. */
	readonly windows: number;
	readonly leftOut: number;
	readonly wrong: number;
	/** Times that a daemon could not tell which windows were reported. */
	readonly leftOutEvents: number;
	/** From the end of each holder to the next take of the lease. */
	readonly takeoverMs: readonly number[];
	/** Appends that were stored, and listings, of the lease topic. */
	readonly storeCalls: number;
	readonly seconds: number;
};

type Daemon = {
	readonly id: string;
	readonly gateway: Gateway;
	readonly relay: Relay | undefined;
	/** Error of its time of day, in milliseconds. */
	readonly clock: {errorMs: number};
};

type Random = () => number;

const callIntervalMs = 100;

/** Calls of plain runs fall into this part of a window, so that the window of each is known. */
const sendFrom = 0.3;
const sendUntil = 0.6;

/** A holder that is to end gets no calls for this time, in which the others hear its counts. */
const toldMs = 1500;

const heldBackMs = 3000;
const takeoverTimeoutMs = 15_000;

/** After this time, windows that are due have been reported, or never are. */
const settledMs = 12_000;

/** What becomes of a holder's access to the store. With the last, its requests arrive when it has lost the lease. */
const cutModes: readonly RelayMode[] = ['cut', 'silent', 'one_way', 'held_requests'];

const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

const drawDaemonCount = (random: Random, mode: LeaseRunMode): number => mode === 'odd' ? pick(random, [2, 2, 3, 3, 3, 4, 5, 8, 12, 20]) : pick(random, [2, 3, 5]);

const hearings = ['all', 'none', 'some', 'deaf', 'mute'] as const;

type Hearing = typeof hearings[number];

/** Returns the losses of a daemon that hears these messages of others, and is heard by them. */
const makeLosses = (hearing: Hearing, lossRandom: Random): DaemonOptions => {
	switch (hearing) {
		case 'all': {
			return {};
		}

		case 'none': {
			return {losesDatagrams: () => true, losesSentDatagrams: () => true};
		}

		case 'some': {
			return {losesDatagrams: () => lossRandom() < 0.5, losesSentDatagrams: () => lossRandom() < 0.5};
		}

		case 'deaf': {
			return {losesDatagrams: () => true};
		}

		case 'mute': {
			return {losesSentDatagrams: () => true};
		}
	}
};

type CallOptions = {
	/** Daemons that get calls now. */
	readonly listDaemons: () => readonly Daemon[];
	readonly windowMs: number;
	readonly isPlain: boolean;
	readonly random: Random;
};

type Calls = {
	/** Served calls by the window in which they were sent. */
	readonly sent: Map<number, number>;
	readonly stop: () => Promise<void>;
};

/** Sends calls to the daemons that are listed at the time, in plain runs only in one part of each window. */
const startCalls = ({listDaemons, windowMs, isPlain, random}: CallOptions): Calls => {
	const sent = new Map<number, number>();
	const stopped = new AbortController();
	let number = 0;
	const isSendingTime = (): boolean => {
		const part = (Date.now() % windowMs) / windowMs;
		return !isPlain || (part >= sendFrom && part < sendUntil);
	};

	const sendCounted = async ({gateway}: Daemon, id: string): Promise<void> => {
		const window = Math.floor(Date.now() / windowMs);
		try {
			const {status} = await sendRequest({gateway, route: 'book', id});
			sent.set(window, (sent.get(window) ?? 0) + (status === 200 ? 1 : 0));
		} catch {
			// The daemon was stopped. Its calls are not judged.
		}
	};

	const send = async (): Promise<void> => {
		while (!stopped.signal.aborted) {
			const daemons = listDaemons();
			if (daemons.length > 0 && isSendingTime()) {
				number++;
				void sendCounted(pick(random, daemons), `call-${number}`);
			}

			await sleep(isPlain ? callIntervalMs / 2 : callIntervalMs); // eslint-disable-line no-await-in-loop -- a rate
		}
	};

	const sending = send();
	return {
		sent,
		async stop() {
			stopped.abort();
			await sending;
		},
	};
};

/** Stops a daemon that was cut off, once what it held back has arrived. */
const stopLater = async ({gateway}: Daemon): Promise<void> => {
	await sleep(heldBackMs);
	gateway.stop();
};

const countTakes = ({lines}: PlatformFixture): number => lines.filter(({event}) => event === 'lease_taken').length;

export const countReports = ({cloud}: PlatformFixture): number => cloud.calls.filter(({path}) => path === '/usage').length;

/** Returns the id of the daemon in the newest record that names one. */
const findHolder = ({store}: PlatformFixture): string | undefined => {
	const leases = store.listValues(leaseTopic, 'lease') as Array<{readonly holder?: unknown} | null>; // eslint-disable-line @typescript-eslint/no-restricted-types -- an unreadable record
	return leases.map(lease => lease?.holder).findLast(holder => typeof holder === 'string');
};

/** Returns whether the lease was taken again within the time. */
const waitForTake = async (fixture: PlatformFixture, takesBefore: number): Promise<boolean> => {
	try {
		await waitUntil('the lease is taken', () => countTakes(fixture) > takesBefore, takeoverTimeoutMs);
		return true;
	} catch {
		return false;
	}
};

type JudgedWindows = {
	/** Calls by window. */
	readonly sent: ReadonlyMap<number, number>;
	/** The first window, and the one after the last. */
	readonly from: number;
	readonly until: number;
};

const judgeWindows = (fixture: PlatformFixture, {sent, from, until}: JudgedWindows): Pick<LeaseRunFigures, 'windows' | 'leftOut' | 'wrong'> => {
	const counts = listReportedCounts(fixture.cloud.calls);
	const windows = Array.from({length: Math.max(0, until - from)}, (_value, index) => from + index);
	return {
		windows: windows.length,
		leftOut: windows.filter(window => !counts.has(window)).length,
		wrong: windows.filter(window => counts.has(window) && (counts.get(window)!.shop ?? 0) !== (sent.get(window) ?? 0)).length,
	};
};

export const runLeaseChanges = async ({mode, changes, seconds, seed}: LeaseRunOptions): Promise<LeaseRunFigures> => {
	const random = makeRandomBeside(seed, 0);
	const callRandom = makeRandomBeside(seed, 1_000_000);
	const lossRandom = makeRandomBeside(seed, 2_000_000);
	const isOdd = mode === 'odd';
	const windowMs = isOdd ? pick(random, [1000, 1000, 2000, 3000, 5000]) : pick(random, [2000, 5000]);
	/** How all daemons hear each other, if not each in its own way. */
	const commonHearing = pick(random, ['all', 'none', 'none', undefined, undefined] as const);
	/** Share of daemons whose clocks are wrong when they start, and the longest time for which a holder is left alone. */
	const wrongClocks = pick(random, [0, 0.2, 0.4, 0.8]);
	const maxHoldMs = isOdd ? pick(random, [500, 1500, 5000]) : 2500;
	const daemonCount = drawDaemonCount(random, mode);
	const fixture = await startPlatformFixture({daemons: 0});
	const daemons: Daemon[] = [];
	/** Daemons that get no calls. */
	const spared = new Set<string>();
	const steps: string[] = [];
	const takeoverMs: number[] = [];
	let started = 0;

	const startDaemon = async (): Promise<void> => {
		started++;
		const id = `daemon-${started}`;
		const clock = {errorMs: isOdd && random() < wrongClocks ? drawClockErrorMs(random) : 0};
		const relay = isOdd ? await startRelay(fixture.store.address) : undefined;
		const bounds = {usageWindowMs: windowMs};
		const odd = relay === undefined ? {} : {storeAddress: relay.address, clockErrorMs: () => clock.errorMs, ...makeLosses(commonHearing ?? pick(random, hearings), lossRandom)};
		try {
			await fixture.startDaemon(id, {bounds, ...odd});
		} catch {
			// Many daemons in one process start slowly. What they send is judged all the same.
			steps.push(`${id} not ready`);
		}

		daemons.push({
			id, gateway: fixture.gateways.at(-1)!, relay, clock,
		});
	};

	/** Ends the holder in one of the ways, and starts another daemon in its place once the lease was taken. */
	const changeHolder = async (isLast: boolean): Promise<void> => {
		const holder = daemons.find(({id}) => id === findHolder(fixture)) ?? pick(random, daemons);
		const way = isOdd ? pick(random, ['stop', 'drain', 'cut', 'step'] as const) : pick(random, ['stop', 'drain'] as const);
		const fault = isOdd && random() < 0.7 ? drawFault(random, isLast) : undefined;
		steps.push([way, fault?.kind].filter(part => part !== undefined).join('+'));
		if (!isOdd && way === 'stop') {
			spared.add(holder.id);
			await sleep(toldMs);
		}

		const takes = countTakes(fixture);
		const endedAt = performance.now();
		const endFault = fault === undefined ? undefined : injectLeaseFault(fixture, fault);
		switch (way) {
			case 'stop': {
				holder.gateway.stop();
				break;
			}

			case 'drain': {
				void holder.gateway.drain();
				break;
			}

			case 'cut': {
				holder.relay!.setMode(pick(random, cutModes));
				break;
			}

			case 'step': {
				holder.clock.errorMs = drawClockErrorMs(random);
				break;
			}
		}

		if (way !== 'step') {
			daemons.splice(daemons.indexOf(holder), 1);
		}

		if (await waitForTake(fixture, takes)) {
			takeoverMs.push(performance.now() - endedAt);
		}

		endFault?.();
		await sleep(random() * maxHoldMs);
		if (way === 'cut') {
			// What it has under way may still arrive.
			holder.relay!.setMode('open');
			void stopLater(holder);
		}

		if (way !== 'step') {
			await startDaemon();
		}
	};

	for (let index = 0; index < daemonCount; index++) {
		await startDaemon(); // eslint-disable-line no-await-in-loop -- the first daemon acquires the lease
	}

	const calls = startCalls({
		listDaemons: () => daemons.filter(({id}) => !spared.has(id)), windowMs, isPlain: !isOdd, random: callRandom,
	});
	await sleep(4000);
	const begunAt = performance.now();
	const firstWindow = Math.floor(Date.now() / windowMs) + 1;
	const countStoreCalls = (): number => fixture.store.countListings(leaseTopic) + fixture.store.listValues(leaseTopic, 'lease').length;
	const callsBefore = countStoreCalls();
	const takesBefore = countTakes(fixture);
	if (mode === 'calm') {
		await sleep(seconds * 1000);
	}

	const changesToPlay = mode === 'calm' ? 0 : changes;
	for (let change = 0; change < changesToPlay; change++) {
		await changeHolder(change >= changesToPlay - 2); // eslint-disable-line no-await-in-loop -- one change after the other
	}

	const lastWindow = Math.floor(Date.now() / windowMs);
	const storeCalls = countStoreCalls() - callsBefore;
	const tookMs = performance.now() - begunAt;
	const changed = countTakes(fixture) - takesBefore;
	await calls.stop();
	await sleep(settledMs);
	const judged = isOdd ? {windows: 0, leftOut: 0, wrong: 0} : judgeWindows(fixture, {sent: calls.sent, from: firstWindow, until: lastWindow});
	return {
		seed, daemons: daemonCount, windowMs, changes: changed, steps, violations: findCloudRequestViolations(fixture.cloud.calls), reports: countReports(fixture), ...judged,
		leftOutEvents: fixture.lines.filter(({event}) => event === 'usage_left_out').length, takeoverMs, storeCalls, seconds: tookMs / 1000,
	};
};
