/** Requests of which one part crashes the engines that begin to answer them, and the check that they are kept from engines. */
import {setTimeout as sleep} from 'node:timers/promises';
import {sendCall} from '@shallotpass/platform/stand-ins/send-call.js';
import {type CrashingCall, type History} from './history.js';
import {makeRandomBeside} from './make-random-beside.js';
import {
	announceReturn, openLinks, type SoakBackend, type SoakCluster,
} from './soak-cluster.js';

const crashingPart = 'c4a5';

/** Time until a crashed engine is back. */
const restartMs = 2500;

/** Mean pause between two such requests. */
const meanPauseMs = 400;

const callTimeoutMs = 8000;

/** As in the rule: requests that may reach engines later than this after the fifth crash. */
const stableMs = 3000;
const allowedLate = 3;

/** Added to the seed, so that the plans of known seeds stay as they are. */
const crashSeedOffset = 6_000_000;
const crashShare = 0.5;

/** Ends the engine: nothing listens at its address until it is back as another incarnation. */
const endEngine = async (cluster: SoakCluster, backend: SoakBackend): Promise<void> => {
	const {address} = backend.relay;
	cluster.crashes.push(performance.now());
	cluster.crashed.add(address);
	for (const daemon of cluster.daemons) {
		openLinks(daemon, cluster);
		const link = daemon.links.get(address);
		link?.setMode('cut');
		link?.setMode('open');
	}

	backend.relay.setMode('cut');
	await sleep(restartMs);
	backend.relay.setMode('open');
	cluster.crashed.delete(address);
	for (const daemon of cluster.daemons) {
		openLinks(daemon, cluster);
	}

	if (!backend.isLeaving) {
		announceReturn(cluster, backend);
	}
};

const prepareEngines = (cluster: SoakCluster): void => {
	for (const backend of cluster.backends.filter(({service}) => service === 'llm')) {
		const isUp = (): boolean => !backend.isLeaving && !cluster.crashed.has(backend.relay.address);
		backend.standIn.crashesOn = ({sharedParts}) => sharedParts.includes(crashingPart) && isUp();
		backend.standIn.onCrash = () => {
			if (isUp()) {
				void endEngine(cluster, backend);
			}
		};
	}
};

export type CrashingCallerOptions = {
	readonly seed: number;
	readonly hasOnlyPlannedWork: boolean;
	readonly signal: AbortSignal;
};

/** Sends requests with the part to any daemon until the signal is aborted, in about half of the runs with unplanned faults. No two are alike. */
export const runCrashingCaller = async (cluster: SoakCluster, {seed, hasOnlyPlannedWork, signal}: CrashingCallerOptions): Promise<CrashingCall[]> => {
	const random = makeRandomBeside(seed, crashSeedOffset);
	const calls: CrashingCall[] = [];
	if (hasOnlyPlannedWork || random() > crashShare) {
		return calls;
	}

	prepareEngines(cluster);
	const pending: Array<Promise<void>> = [];
	for (let index = 0; !signal.aborted; index++) {
		const id = `crashing-${index}`;
		const daemon = cluster.daemons[Math.floor(random() * cluster.daemons.length)]!;
		calls.push({id, daemon: daemon.process.id, sentAt: performance.now()});
		pending.push(sendOne(daemon.process.settings.listen.callers, id));
		await sleep(random() * 2 * meanPauseMs); // eslint-disable-line no-await-in-loop -- one after the other
	}

	await Promise.all(pending);
	return calls;
};

const sendOne = async (address: string, id: string): Promise<void> => {
	try {
		await sendCall({
			address, route: 'ask', id, body: `prompt of ${id}`, signal: AbortSignal.timeout(callTimeoutMs),
			promptParts: ['aa', crashingPart, id],
		});
	} catch {
		// Such requests are not owed an answer.
	}
};

/** Requests with the part reach engines for some seconds only. */
export const findCrashViolations = ({crashes, crashingCalls, arrivals}: History, isDisturbed: (daemon: string, at: number) => boolean): string[] => {
	const fifthAt = crashes[4];
	if (fifthAt === undefined) {
		return [];
	}

	const daemons = new Map(crashingCalls.map(({id, daemon}) => [id, daemon]));
	const late = arrivals.filter(({id, at}) => daemons.has(id) && at > fifthAt + stableMs && !isDisturbed(daemons.get(id)!, at));
	return late.length > allowedLate
		? [`${late.length} requests with a part that crashes engines reached engines later than ${stableMs} ms after the fifth crash, the first ${late[0]!.id}; ${crashes.length} crashes`]
		: [];
};
