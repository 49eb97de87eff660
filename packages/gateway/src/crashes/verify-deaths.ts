/**
 * Asks backend servers whether they live for whose deaths requests are refused. Paths that come and go look like deaths, and while requests are
 * refused nothing may be received that would refute them.
 */
import {listVerdicts} from '@shallotpass/core/crashes/crash-ledger.js';
import {type BackendState} from '../calls/backend-registry.js';
import {countDaemons, type GatewayState} from '../gateway-state.js';
import {canConnect} from '../paths/can-connect.js';
import {refuteCrash} from './record-evidence.js';

const askTimeoutMs = 600;

/** Backend servers that are being asked. */
const asked = new WeakSet<BackendState>();

/** Whether the process at the address of the backend server is the one that was taken for dead. */
const isAlive = async (gateway: GatewayState, {entry, agent}: BackendState): Promise<boolean> => {
	if (!await canConnect(gateway.registry.openConnection, entry.address)) {
		return false;
	}

	const reply = await gateway.engines.readStart({address: entry.address, agent}, {timeoutMs: askTimeoutMs, signal: gateway.stopSignal});
	// One that does not tell may have started again a moment ago.
	return reply.kind === 'started' && reply.startedAt === entry.startedAt;
};

const verifyDeath = async (gateway: GatewayState, state: BackendState): Promise<void> => {
	asked.add(state);
	const lives = await isAlive(gateway, state);
	asked.delete(state);
	if (lives && !state.isGone) {
		refuteCrash(gateway, state);
	}
};

/** Asks once a gossip round, by one daemon in the mean. */
export const verifyDeaths = (gateway: GatewayState): void => {
	const deaths = new Set(listVerdicts(gateway.crashes).flatMap(verdict => verdict.deaths.map(({incarnation}) => incarnation)));
	if (deaths.size === 0) {
		return;
	}

	for (const state of gateway.registry.byId.values()) {
		if (deaths.has(state.incarnationHash) && !asked.has(state) && gateway.random() * countDaemons(gateway) < 1) {
			void verifyDeath(gateway, state);
		}
	}
};
