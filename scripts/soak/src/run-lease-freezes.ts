/** One run in which lease holders are suspended: daemons as processes, with stand-ins of the store and the cloud API. */
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {findCloudRequestViolations} from '@shallotpass/platform/stand-ins/check-cloud-requests.js';
import {leaseTopic} from '@shallotpass/platform/stand-ins/keyed-log-stand-in.js';
import {
	makeSettings, type PlatformFixture, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {sendCall} from '@shallotpass/platform/stand-ins/send-call.js';
import {type DaemonProcess, makeDaemonProcess} from './daemon-process.js';
import {drawClockErrorMs, drawFault, injectLeaseFault} from './lease-faults.js';
import {makeRandomBeside} from './make-random-beside.js';
import {countReports, type LeaseRunFigures, type LeaseRunOptions} from './run-lease-changes.js';

type StoredFields = {readonly holder?: unknown; readonly fence?: unknown} | null; // eslint-disable-line @typescript-eslint/no-restricted-types -- an unreadable record

/** Some holders continue within their lease, some while another daemon takes it, some later. */
const shortestFreezeMs = 1000;
const longestFreezeMs = 8000;
const callIntervalMs = 100;
const leaseAndMarginMs = 3500;
const thawedMs = 1000;
const takeTimeoutMs = 15_000;
const settledMs = 12_000;

/** Share of messages to other daemons that are lost. */
const lossShares = [0, 0.5, 1, 1] as const;

const pick = <Item>(random: () => number, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

const listLeases = ({store}: PlatformFixture): StoredFields[] => store.listValues(leaseTopic, 'lease') as StoredFields[];

/** Who takes the lease writes -1 in place of a fence. */
const countTakes = (fixture: PlatformFixture): number => listLeases(fixture).filter(lease => lease?.fence === -1).length;

const sendQuietly = async (address: string, id: string): Promise<void> => {
	try {
		await sendCall({address, route: 'book', id});
	} catch {
		// A suspended daemon does not answer, and calls are not judged.
	}
};

const startCalls = (daemons: readonly DaemonProcess[], random: () => number): (() => Promise<void>) => {
	const stopped = new AbortController();
	const send = async (): Promise<void> => {
		for (let number = 1; !stopped.signal.aborted; number++) {
			void sendQuietly(pick(random, daemons).settings.listen.callers, `call-${number}`);
			await sleep(callIntervalMs); // eslint-disable-line no-await-in-loop -- a rate
		}
	};

	const sending = send();
	return async () => {
		stopped.abort();
		await sending;
	};
};

export const runLeaseFreezes = async ({changes, seed}: Omit<LeaseRunOptions, 'mode' | 'seconds'>): Promise<LeaseRunFigures> => {
	const random = makeRandomBeside(seed, 0);
	const windowMs = pick(random, [1000, 2000, 3000, 5000]);
	const lossShare = pick(random, lossShares);
	const wrongClocks = pick(random, [0, 0, 0.4]);
	const daemonCount = pick(random, [2, 2, 3, 4]);
	const fixture = await startPlatformFixture({daemons: 0});
	const folder = mkdtempSync(path.join(tmpdir(), 'lease-freezes-'));
	const steps: string[] = [];
	const takeoverMs: number[] = [];
	const daemons = Array.from({length: daemonCount}, (_value, index) => {
		const settings = makeSettings(`daemon-${index + 1}`, fixture.store.address, fixture.cloud.address);
		const daemon = makeDaemonProcess({...settings, bounds: {...settings.bounds, usageWindowMs: windowMs}}, folder);
		daemon.setDatagramFaults({lossShare, unreachable: []});
		daemon.setClockAtStart(random() < wrongClocks ? Math.round(drawClockErrorMs(random)) : 0);
		return daemon;
	});

	const countLeftOut = (): number => daemons.reduce((total, {id}) => total + readFileSync(path.join(folder, `${id}.log`), 'utf8').split('usage_left_out').length - 1, 0);
	const continued: Array<{readonly id: string; readonly at: number}> = [];
	/** What it had begun to send before may arrive with its old fence. Two reports of a window are judged all the same. */
	const isJustContinued = ({holder, at}: {readonly holder: string; readonly at: number}): boolean => continued.some(daemon => daemon.id === holder && at >= daemon.at && at < daemon.at + thawedMs);

	/** Notes the time until the lease is taken again. A holder that goes on within its lease keeps it. */
	const measureTake = async (takesBefore: number, timeoutMs: number): Promise<void> => {
		const begunAt = performance.now();
		try {
			await waitUntil('the lease is taken', () => countTakes(fixture) > takesBefore, timeoutMs);
			takeoverMs.push(performance.now() - begunAt);
		} catch {
			// It was kept.
		}
	};

	/** Suspends the holder, for some time beside a fault. */
	const freezeHolder = async (isLast: boolean): Promise<void> => {
		const name = listLeases(fixture).map(lease => lease?.holder).findLast(holder => typeof holder === 'string');
		const holder = daemons.find(({id}) => id === name) ?? pick(random, daemons);
		const fault = random() < 0.5 ? drawFault(random, isLast) : undefined;
		const freezeMs = shortestFreezeMs + (random() * (longestFreezeMs - shortestFreezeMs));
		steps.push([`freeze ${Math.round(freezeMs)}`, fault?.kind].filter(part => part !== undefined).join('+'));
		const takes = countTakes(fixture);
		const endFault = fault === undefined ? undefined : injectLeaseFault(fixture, fault);
		// Frozen at some time within its renewals and reports.
		await sleep(random() * 1000);
		holder.send('SIGSTOP');
		const taking = measureTake(takes, freezeMs + (freezeMs < leaseAndMarginMs ? 2000 : takeTimeoutMs));
		await sleep(freezeMs);
		continued.push({id: holder.id, at: performance.now()});
		holder.send('SIGCONT');
		await taking;
		endFault?.();
		await sleep(random() * 3000);
	};

	try {
		for (const daemon of daemons) {
			daemon.start();
		}

		await waitUntil('a daemon holds the lease', () => countTakes(fixture) > 0);
		const stopCalls = startCalls(daemons, makeRandomBeside(seed, 1_000_000));
		await sleep(4000);
		const begunAt = performance.now();
		const takesBefore = countTakes(fixture);
		const countStoreCalls = (): number => fixture.store.countListings(leaseTopic) + listLeases(fixture).length;
		const callsBefore = countStoreCalls();
		for (let change = 0; change < changes; change++) {
			await freezeHolder(change >= changes - 2); // eslint-disable-line no-await-in-loop -- one change after the other
		}

		const storeCalls = countStoreCalls() - callsBefore;
		const seconds = (performance.now() - begunAt) / 1000;
		const changed = countTakes(fixture) - takesBefore;
		await stopCalls();
		await sleep(settledMs);
		return {
			seed, daemons: daemonCount, windowMs, changes: changed, steps, violations: findCloudRequestViolations(fixture.cloud.calls, isJustContinued), windows: 0, leftOut: 0, wrong: 0,
			reports: countReports(fixture), leftOutEvents: countLeftOut(), takeoverMs, storeCalls, seconds,
		};
	} finally {
		for (const daemon of daemons) {
			daemon.send('SIGCONT');
		}

		await Promise.all(daemons.map(async daemon => daemon.end('SIGKILL')));
	}
};
