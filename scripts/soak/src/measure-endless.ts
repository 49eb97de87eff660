/**
 * Measures what bytes without end from a backend server cost the daemons, which run as processes of their own, and prints a line
 * for each kind (with `--reports`, questions for reports are answered so as well): `npm run measure:endless -- [--daemons N] [--seconds N] [--endless N] [--pace full|trickle] [--route NAME] [--reports] [KIND...]`.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {
	type EndlessBackend, type EndlessKind, endlessKinds, type EndlessPace, startEndlessBackend,
} from '@shallotpass/platform/stand-ins/endless-backend.js';
import {
	announceBackend, makeSettings, type PlatformFixture, removeBackend, startPlatformFixture, waitUntil,
} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type RouteName, sendCall} from '@shallotpass/platform/stand-ins/send-call.js';
import {type DaemonProcess, makeDaemonProcess} from './daemon-process.js';

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		daemons: {type: 'string', default: '2'}, seconds: {type: 'string', default: '8'}, endless: {type: 'string', default: '1'}, pace: {type: 'string', default: 'full'}, route: {type: 'string', default: 'ask'}, reports: {type: 'boolean', default: false},
	},
});

const engines = 4;
const callsPerSecond = 20;

/** Calls that are sent earlier may be the ones by which the daemons find out. */
const judgedAfterMs = 2000;

/** Time after the last call at which no connection may be read on. */
const settledAfterMs = 1000;

type Figures = {
	/** Longest time for which the event loop stood still. */
	readonly stallMs: number;
	readonly memoryMb: number;
};

const readMetric = (text: string, name: string): number => Number(new RegExp(`^${name} (?<value>\\S+)$`, 'mv').exec(text)?.groups?.value ?? Number.NaN);

/** Reads the figures of a daemon since they were last read. */
const readFigures = async ({settings}: DaemonProcess): Promise<Figures> => {
	const response = await fetch(`http://${settings.listen.metrics}/metrics`);
	const text = await response.text();
	return {stallMs: readMetric(text, 'nodejs_eventloop_lag_max_seconds') * 1000, memoryMb: readMetric(text, 'process_resident_memory_bytes') / 1_000_000};
};

type FirstTry = {
	readonly sentMs: number;
	readonly isServed: boolean;
	readonly tookMs: number;
};

const sendOne = async (address: string, id: string, sentMs: number): Promise<FirstTry> => {
	const sentAt = performance.now();
	const route = values.route as RouteName;
	try {
		const {status, isComplete, body} = await sendCall({
			address, route, id, ...(route !== 'read' && {body: 'x'}),
		});
		return {sentMs, isServed: status === 200 && isComplete && body !== '', tookMs: performance.now() - sentAt};
	} catch {
		return {sentMs, isServed: false, tookMs: performance.now() - sentAt};
	}
};

const sendCalls = async (daemons: readonly DaemonProcess[], name: string, forMs: number): Promise<FirstTry[]> => {
	const startedAt = performance.now();
	const tries: Array<Promise<FirstTry>> = [];
	for (let number = 0; performance.now() < startedAt + forMs; number++) {
		tries.push(sendOne(daemons[number % daemons.length]!.settings.listen.callers, `${name}-${number}`, performance.now() - startedAt));
		await sleep(Math.max(0, startedAt + ((number + 1) * 1000 / callsPerSecond) - performance.now())); // eslint-disable-line no-await-in-loop -- a fixed rate
	}

	return Promise.all(tries);
};

const isReady = async ({settings}: DaemonProcess): Promise<boolean> => {
	try {
		const response = await fetch(`http://${settings.listen.ready}/ready`);
		return response.status === 200;
	} catch {
		// It does not listen yet.
		return false;
	}
};

const startDaemons = async ({store, cloud}: PlatformFixture, folder: string): Promise<DaemonProcess[]> => {
	const daemons = Array.from({length: Number(values.daemons)}, (_value, index) => makeDaemonProcess(makeSettings(`daemon-${index}`, store.address, cloud.address), folder));
	for (const daemon of daemons) {
		daemon.start();
	}

	await waitUntil('the daemons are ready', async () => {
		const ready = await Promise.all(daemons.map(async daemon => isReady(daemon)));
		return ready.every(Boolean);
	}, 30_000);
	// A daemon repeats few calls until what its predecessor may have repeated has left the window.
	await sleep(11_500);
	return daemons;
};

const pickPercentile = (sorted: readonly number[], share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;

/** Sends calls while some backend servers answer with bytes without end, and describes what became of them. */
const measureKind = async (daemons: readonly DaemonProcess[], endless: readonly EndlessBackend[], kind: EndlessKind): Promise<string> => {
	for (const backend of endless) {
		backend.kind = kind;
		backend.pace = values.pace as EndlessPace;
		backend.floodsReports = values.reports;
	}

	const before = await Promise.all(daemons.map(async daemon => readFigures(daemon)));
	const tries = await sendCalls(daemons, kind, Number(values.seconds) * 1000);
	const after = await Promise.all(daemons.map(async daemon => readFigures(daemon)));
	await sleep(settledAfterMs);
	const judged = tries.filter(({sentMs}) => sentMs >= judgedAfterMs);
	const served = judged.filter(({isServed}) => isServed).length / judged.length;
	const took = tries.filter(({isServed}) => isServed).map(({tookMs}) => tookMs).toSorted((left, right) => left - right);
	const stallMs = Math.max(...after.map(figures => figures.stallMs));
	const addedMb = Math.max(...after.map(({memoryMb}, index) => memoryMb - before[index]!.memoryMb));
	const reading = endless.reduce((sum, backend) => sum + backend.countSending(), 0);
	const arrivals = endless.reduce((sum, backend) => sum + backend.arrivals.length, 0);
	return `${kind}: ${served.toFixed(3)} of ${judged.length} served, 95 of 100 within ${Math.round(pickPercentile(took, 0.95))} ms, stall ${Math.round(stallMs)} ms, memory +${Math.round(addedMb)} MB, ${reading} connections read on, ${arrivals} calls reached it`;
};

const fixture = await startPlatformFixture({daemons: 0, engines: engines - Number(values.endless), apps: engines - Number(values.endless)});
const folder = mkdtempSync(path.join(tmpdir(), 'endless-'));
const daemons = await startDaemons(fixture, folder);
try {
	for (const kind of positionals.length === 0 ? endlessKinds : positionals as EndlessKind[]) {
		// eslint-disable-next-line no-await-in-loop -- one kind after the other
		const endless = await Promise.all(Array.from({length: Number(values.endless)}, async (_value, index) => startEndlessBackend(`${kind}-${index}`)));
		for (const backend of endless) {
			announceBackend(fixture.store, backend, {service: values.route === 'ask' || values.route === 'draft' ? 'llm' : 'app', address: backend.address, born: 1000});
		}

		await sleep(1000); // eslint-disable-line no-await-in-loop -- the daemons read the list
		process.stdout.write(`${await measureKind(daemons, endless, kind)}\n`); // eslint-disable-line no-await-in-loop -- one kind after the other
		for (const backend of endless) {
			removeBackend(fixture.store, backend);
			await backend.close(); // eslint-disable-line no-await-in-loop -- one after the other
		}
	}
} finally {
	await Promise.all(daemons.map(async daemon => daemon.end('SIGKILL')));
	await fixture.close();
}

process.exit();
