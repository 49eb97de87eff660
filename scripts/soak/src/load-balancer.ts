/** The platform's load balancer, which chooses the daemons that receive new connections by their readiness checks. */
import {setTimeout as sleep} from 'node:timers/promises';

/** Interval of the checks, within which a daemon must respond, and failed checks in a row that take a daemon out of rotation. */
const checkIntervalMs = 1000;
const missesUntilOut = 2;

export type BalancedDaemon = {
	readonly callers: string;
	readonly ready: string;
};

export type LoadBalancer = {
	/** Returns the addresses of the daemons that receive a connection now of a caller that has failed at those given. It is empty if no daemon is in rotation, as there is no other zone. */
	readonly listAddresses: (failed: ReadonlySet<string>) => readonly string[];
};

/** Chooses the daemons that receive new connections by the failed checks in a row of each. Retries reach other daemons, if there are any. */
export const pickReceivers = (misses: ReadonlyMap<string, number>, failed: ReadonlySet<string>): readonly string[] => {
	const all = [...misses.keys()];
	const inRotation = all.filter(address => misses.get(address)! < missesUntilOut);
	const receivers = inRotation.length > 0 && inRotation.length < all.length / 2 ? all : inRotation;
	const others = receivers.filter(address => !failed.has(address));
	return others.length > 0 ? others : receivers;
};

const isReady = async (address: string): Promise<boolean> => {
	try {
		const answer = await fetch(`http://${address}/ready`, {signal: AbortSignal.timeout(checkIntervalMs)});
		return answer.status === 200;
	} catch {
		// It does not listen, or is suspended.
		return false;
	}
};

/** Starts the checks, which end with the signal. All daemons are in rotation at first. */
export const startLoadBalancer = (daemons: readonly BalancedDaemon[], signal: AbortSignal): LoadBalancer => {
	const misses = new Map(daemons.map(({callers}) => [callers, 0]));
	const follow = async ({callers, ready}: BalancedDaemon): Promise<void> => {
		for (let checkAt = performance.now(); !signal.aborted; checkAt += checkIntervalMs) {
			await sleep(Math.max(0, checkAt - performance.now())); // eslint-disable-line no-await-in-loop -- a periodic check
			const isIn = await isReady(ready); // eslint-disable-line no-await-in-loop -- a periodic check
			misses.set(callers, isIn ? 0 : misses.get(callers)! + 1);
		}
	};

	for (const daemon of daemons) {
		void follow(daemon);
	}

	return {listAddresses: failed => pickReceivers(misses, failed)};
};
