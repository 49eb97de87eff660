/** Faults of a simulated rollout that take effect at their beginning. The others are asked for while they last. */
import {emptyHistory} from '../rollouts/results-history.js';
import {type RolloutFault, type RolloutSimulation} from './rollout-simulation.js';
import {crashServer} from './simulated-calls.js';

/** Time from the end of a lease holder until its successor plans. */
const takeoverMs = 3000;

/** Time after which a crashed server is ready again. */
const restartMs = 4000;

const maxCrashes = 3;

/** Share of the daemons that `daemons_killed` ends. */
const killedShare = 0.1;

const crashServers = (simulation: RolloutSimulation): void => {
	const {servers, plan: {random}} = simulation;
	for (let count = Math.ceil(random() * maxCrashes); count > 0; count--) {
		crashServer(simulation, servers[Math.floor(random() * servers.length)]!, restartMs);
	}
};

/** Takes a third of the servers, but never the first one of a version. */
const reclaimServers = ({servers, plan, now}: RolloutSimulation, forMs: number): void => {
	for (const server of servers.filter((_server, index) => index % 3 === 0 && index % plan.servers !== 0)) {
		server.readyAt = Math.max(server.readyAt, now + forMs);
	}
};

const killHolder = ({daemons, holder, plan: {random}, now}: RolloutSimulation): void => {
	const successors = daemons.filter(({isAlive}, index) => isAlive && index > 0);
	if (successors.length === 0) {
		return;
	}

	holder.daemon.isAlive = false;
	const daemon = successors[Math.floor(random() * successors.length)]!;
	Object.assign(holder, {
		daemon, reported: new Map(), history: emptyHistory, actsFrom: now + takeoverMs,
	});
};

const killDaemons = ({daemons, holder, plan: {random}}: RolloutSimulation): void => {
	for (const daemon of daemons.filter(daemon => daemon !== holder.daemon && random() < killedShare)) {
		daemon.isAlive = false;
	}
};

export const startFault = (simulation: RolloutSimulation, {kind, forMs}: RolloutFault): void => {
	switch (kind) {
		case 'crash': {
			crashServers(simulation);
			break;
		}

		case 'reclaim': {
			reclaimServers(simulation, forMs);
			break;
		}

		case 'holder_killed': {
			killHolder(simulation);
			break;
		}

		case 'daemons_killed': {
			killDaemons(simulation);
			break;
		}

		case 'burst':
		case 'partition':
		case 'store_outage': {
			break;
		}
	}
};
