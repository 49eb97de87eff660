/** Logs and counts verdicts on what crashes backend servers as they begin and end. */
import {listVerdicts} from '@shallotpass/core/crashes/crash-ledger.js';
import {type CrashVerdict} from '@shallotpass/core/crashes/types.js';
import {type GatewayState} from '../gateway-state.js';

/** Names a verdict in logs and to callers. */
export const describeVerdict = ({kind, keys}: CrashVerdict): string => `${kind} ${keys.join(' with ')}`;

/** Names the backend servers of the verdict that this daemon still knows. The others are counted only. */
const listBackends = ({registry}: GatewayState, {deaths}: CrashVerdict): string[] => {
	const hashes = new Set(deaths.map(({incarnation}) => incarnation));
	return [...registry.byId.values()].filter(({incarnationHash}) => hashes.has(incarnationHash)).map(({entry}) => entry.id);
};

/** Lifts the verdicts on what an operator has cleared in the settings. */
export const clearParts = (gateway: GatewayState): void => {
	gateway.crashes.cleared = new Set(gateway.settings.crashes.cleared);
	gateway.crashes.verdicts = undefined;
	announceVerdicts(gateway);
};

/** Logs the verdicts that are new or have ended since the last call. */
export const announceVerdicts = (gateway: GatewayState): void => {
	const current = new Map(listVerdicts(gateway.crashes).map(verdict => [describeVerdict(verdict), verdict]));
	for (const [name, verdict] of current) {
		if (!gateway.announcedVerdicts.has(name)) {
			gateway.log.write('state', 'crash_verdict', {
				on: name, ends: verdict.deaths.length, score: verdict.score, isOneAccount: verdict.account !== undefined, backends: listBackends(gateway, verdict).join(','),
			});
		}
	}

	for (const name of gateway.announcedVerdicts.keys()) {
		if (!current.has(name)) {
			gateway.log.write('state', 'crash_verdict_lifted', {on: name});
		}
	}

	gateway.announcedVerdicts = current;
	gateway.metrics.crashVerdicts.set(current.size);
};
