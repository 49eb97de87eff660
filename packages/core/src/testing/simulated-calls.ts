/** Calls of a simulated rollout: where they are sent, and what their responses tell the daemons. */
import {filterByVersion, pickTrialServers, pickVersions} from '../rollouts/pick-version.js';
import {recordResult, recordSend} from '../rollouts/record-result.js';
import {
	isDuring, listReady, type ReadyServers, type RolloutSimulation, type RunningCall, scheduleAt, type SimulatedDaemon, tickMs,
} from './rollout-simulation.js';
import {drawResponse, type SimulatedRoute, type SimulatedServer} from './simulated-backends.js';

/** Factor of the call rate in a burst. */
const burstFactor = 2.5;

const listUnfinished = (calls: readonly RunningCall[], now: number): RunningCall[] => calls.filter(({endsAt}) => endsAt > now);

const listAllowed = ({plan: {random}, now}: RolloutSimulation, {rollout}: SimulatedDaemon, ready: ReadyServers): readonly SimulatedServer[] => {
	const choice = pickVersions(rollout, {fraction: random(), isRepeat: false}, now);
	const allowed = filterByVersion([...ready.old, ...ready.new], choice, ({version}) => version);
	if (rollout.stage !== 'trial' || choice.kind !== 'only') {
		return allowed;
	}

	const inUse = new Set(pickTrialServers(ready.new.map(({id}) => id), {share: rollout.share, oldServers: ready.old.length, now}));
	return allowed.filter(({id, version}) => version === 'old' || inUse.has(id));
};

/** Picks the server with less work per speed out of two random ones. */
const pickServer = (allowed: readonly SimulatedServer[], random: () => number): SimulatedServer => {
	const [one, other] = [allowed[Math.floor(random() * allowed.length)]!, allowed[Math.floor(random() * allowed.length)]!];
	return (one.running + 1) / one.speed <= (other.running + 1) / other.speed ? one : other;
};

const observeSend = ({observed, now}: RolloutSimulation): void => {
	observed.exposure += observed.finalAt === Infinity ? 1 : 0;
	observed.lastNewAt = now;
};

const observeBadResponse = ({observed, now}: RolloutSimulation): void => {
	observed.bad++;
	observed.firstBadAt = Math.min(observed.firstBadAt, now);
	observed.fiftiethBadAt = observed.bad === 50 ? now : observed.fiftiethBadAt;
};

const sendCall = (simulation: RolloutSimulation, daemon: SimulatedDaemon, route: SimulatedRoute, ready: ReadyServers): void => {
	const {plan: {badness, random}, now} = simulation;
	const allowed = listAllowed(simulation, daemon, ready);
	if (allowed.length === 0) {
		return;
	}

	const server = pickServer(allowed, random);
	const isNew = server.version === 'new';
	const {incarnation} = server;
	const response = drawResponse(server, route, {badness, now, random});
	server.running++;
	daemon.results = recordSend(daemon.results, {route: route.name, isNew});
	if (isNew) {
		observeSend(simulation);
	}

	const end = (): void => {
		const isBroken = server.incarnation !== incarnation;
		server.running -= isBroken ? 0 : 1;
		daemon.results = recordResult(daemon.results, {
			route: route.name,
			isNew,
			outcome: isBroken || response.fails ? 'failure' : 'answer',
			promptTokens: response.promptTokens,
			tookMs: response.firstEventMs,
			failureSource: {backendId: server.id, at: simulation.now},
		});
		if (response.isBad) {
			observeBadResponse(simulation);
		}
	};

	const endsAt = now + (response.fails ? response.firstEventMs : response.endMs);
	simulation.runningCalls.get(server)?.push({endsAt, end});
	// If the server crashes before, `crashServer` ends the call.
	scheduleAt(simulation, endsAt, () => {
		if (server.incarnation === incarnation) {
			end();
		}
	});
};

/** Sends the calls of one tick. */
export const sendCalls = (simulation: RolloutSimulation): void => {
	const {plan: {routes, random, durationMs}, now} = simulation;
	const ready = listReady(simulation);
	const alive = simulation.daemons.filter(({isAlive}) => isAlive);
	for (const route of routes) {
		const mean = route.perSecond * tickMs / 1000 * (isDuring(simulation, 'burst') ? burstFactor : 1);
		const count = Math.floor(mean + random());
		simulation.serviceCalls += now < durationMs ? count : 0;
		for (let index = 0; index < count; index++) {
			sendCall(simulation, alive[Math.floor(random() * alive.length)]!, route, ready);
		}
	}
};

/** Ends the calls that run at a server, and lets it take calls again after `restartMs`. */
export const crashServer = ({runningCalls, now}: RolloutSimulation, server: SimulatedServer, restartMs: number): void => {
	server.incarnation++;
	server.running = 0;
	server.readyAt = now + restartMs;
	for (const call of listUnfinished(runningCalls.get(server)!.splice(0), now)) {
		call.end();
	}
};

export const dropFinishedCalls = ({runningCalls, now}: RolloutSimulation): void => {
	for (const calls of runningCalls.values()) {
		calls.splice(0, calls.length, ...listUnfinished(calls, now));
	}
};
