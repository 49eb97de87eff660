/** Callers of one run: each keeps its connections open and sends one call after the other to any daemon. */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {secondKey} from '@shallotpass/platform/stand-ins/platform-fixture.js';
import {type RouteName, sendCall, shopKey} from '@shallotpass/platform/stand-ins/send-call.js';
import {type CallEnd, type EndedCall, type SentCall} from './history.js';
import {type SoakWorld} from './soak-world.js';

const routes: readonly RouteName[] = ['read', 'book', 'ask', 'draft'];

/** Pause between two calls of one caller, in milliseconds; a caller gives a call up after `patienceMs`, which is beyond each route's time limit. */
const longestPauseMs = 120;
const patienceMs = 8000;

/** A caller stays with a daemon for some calls, so that its connections are kept. */
const stayShare = 0.7;

/** Part of the calls that bear the key which comes and goes. */
const secondKeyShare = 0.1;

export type CallerOptions = {
	readonly world: SoakWorld;
	readonly name: string;
	readonly random: () => number;
	/** Callers begin no call after this is aborted. */
	readonly signal: AbortSignal;
	/** Only the key that is always there, as for the calls of the calm end. */
	readonly hasOneKey: () => boolean;
};

const send = async (address: string, call: SentCall, agent: http.Agent): Promise<CallEnd | undefined> => {
	const patience = AbortSignal.timeout(patienceMs);
	try {
		const answer = await sendCall({
			address, route: call.route, id: call.id, key: call.key, agent, signal: patience, body: call.body === '' ? undefined : call.body,
		});
		return {
			kind: 'answered',
			status: answer.status,
			sealedBy: answer.sealedBy,
			requestId: answer.requestId,
			body: answer.body,
			isWhole: answer.isWhole,
		};
	} catch (error) {
		return patience.aborted ? undefined : {kind: 'cut', reason: error instanceof Error ? error.message : String(error)};
	}
};

/** Sends calls until the signal is aborted; gives what became of each. */
export const runCaller = async ({world, name, random, signal, hasOneKey}: CallerOptions): Promise<EndedCall[]> => {
	const agent = new http.Agent({keepAlive: true});
	const calls: EndedCall[] = [];
	let daemon = world.daemons[0]!;
	for (let count = 0; !signal.aborted; count++) {
		if (random() > stayShare) {
			daemon = world.daemons[Math.floor(random() * world.daemons.length)]!;
		}

		const route = routes[Math.floor(random() * routes.length)]!;
		const hasSecondKey = random() < secondKeyShare && !hasOneKey();
		const call: SentCall = {
			id: `${name}-${count}`,
			daemon: daemon.process.id,
			route,
			key: hasSecondKey ? secondKey : shopKey,
			path: `/${route}/a`,
			body: route === 'read' ? '' : `body of ${name}-${count}`,
			sentAt: performance.now(),
		};
		const end = await send(daemon.process.settings.listen.callers, call, agent); // eslint-disable-line no-await-in-loop -- one call after the other
		calls.push({...call, end, endedAt: performance.now()});
		await sleep(random() * longestPauseMs); // eslint-disable-line no-await-in-loop -- one call after the other
	}

	agent.destroy();
	return calls;
};
