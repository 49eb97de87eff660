/** What daemons tell each other of the limits that backend servers state: the newest statements, and the daemons that share the limits. */
import {getOwn} from '@shallotpass/common/records.js';
import {computeWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {type GossipReport} from '@shallotpass/core/gossip/gossip-report.js';
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {followParticipants, updateLevel} from '@shallotpass/core/limits/participants.js';
import {endedLimit, type ReportedLimit, trimLimits} from '@shallotpass/core/limits/reported-limits.js';
import {
	adoptStatement, hasStatedLimit, refreshLimits,
} from '../calls/backend-limits.js';
import {adoptBrittleness, isBrittle} from '../calls/backend-brittleness.js';
import {type BackendState} from '../calls/backend-registry.js';
import {adoptUnsoundness} from '../calls/backend-soundness.js';
import {getPropagationMs} from '../calls/limit-propagation.js';
import {countDaemons, type GatewayState, type PeerReport} from '../gateway-state.js';

/** Time for which the end of a limit is reported. */
const reportEndMs = 10_000;

const isReported = (gateway: GatewayState, {limit}: BackendState): boolean => limit !== undefined
	&& (limit.statement.perSecond !== undefined || (limit.slowStart !== undefined && gateway.clocks.steady() < limit.slowStart.since + reportEndMs));

/** Returns the statements to report. */
export const reportLimits = (gateway: GatewayState): GossipReport['limits'] => {
	const limited = [...gateway.registry.byId.values()].filter(state => isReported(gateway, state));
	return trimLimits(Object.fromEntries(limited.map(({entry, incarnationHash, limit}): [string, ReportedLimit] => {
		const {perSecond, statedAt} = limit!.statement;
		return [entry.id, [perSecond ?? endedLimit, Math.round(statedAt), incarnationHash]];
	})));
};

const listLimitedServices = (gateway: GatewayState): Set<string> =>
	new Set([...gateway.registry.byId.values()].filter(state => hasStatedLimit(state) || isBrittle(state)).map(({entry}) => entry.service));

/**
 * Updates this daemon's levels, and returns it as a participant of its services. Beyond the number of daemons that report directly
 * to each other, only services with limits are reported, so that sums don't grow with the number of services.
 */
export const reportParticipants = (gateway: GatewayState): GossipReport['participants'] => {
	const now = gateway.clocks.steady();
	const {id, availabilityZone} = gateway.settings.instance;
	const limitedServices = needsRelays(countDaemons(gateway)) ? listLimitedServices(gateway) : undefined;
	const reported = new Map<string, GossipReport['participants'][string]>();
	for (const [service, rate] of gateway.callRates) {
		const level = updateLevel(gateway.participantLevels.get(service), computeWorkRate(rate, now));
		if (level === undefined || gateway.drainingSince !== undefined) {
			gateway.participantLevels.delete(service);
			continue;
		}

		gateway.participantLevels.set(service, level);
		if (limitedServices?.has(service) !== false) {
			reported.set(service, [[id, availabilityZone, level]]);
		}
	}

	return Object.fromEntries(reported);
};

/** Adopts the statements of a report about backend servers that run here under the same incarnation. */
export const adoptLimits = (gateway: GatewayState, report: GossipReport): void => {
	for (const [id, [perSecond, statedAt, incarnationHash]] of Object.entries(report.limits)) {
		const state = gateway.registry.byId.get(id);
		if (state?.incarnationHash === incarnationHash) {
			adoptStatement(gateway, state, {perSecond: perSecond === endedLimit ? undefined : perSecond, statedAt}, report.id);
		}
	}

	for (const [id, reported] of Object.entries(report.brittle)) {
		const state = gateway.registry.byId.get(id);
		if (state !== undefined) {
			adoptBrittleness(gateway, state, reported, report.id);
		}
	}

	for (const [id, reported] of Object.entries(report.unsound)) {
		const state = gateway.registry.byId.get(id);
		if (state !== undefined) {
			adoptUnsoundness(gateway, state, reported);
		}
	}
};

export type ParticipantsUpdate = {
	/** This daemon's last report. */
	readonly ownReport: GossipReport;
	/** Whether the reports of others contain this daemon. */
	readonly isInReports: boolean;
	/** Whether other daemons are known, heard or not. */
	readonly hasPeers: boolean;
};

/** Updates the participants of all services from the latest reports. */
export const updateParticipants = (gateway: GatewayState, {ownReport, isInReports, hasPeers}: ParticipantsUpdate): void => {
	refreshLimits(gateway);
	const now = gateway.clocks.steady();
	const peers: readonly PeerReport[] = [...gateway.peers.values()];
	const services = new Set([...gateway.participants.keys(), ...Object.keys(ownReport.participants), ...peers.flatMap(peer => Object.keys(peer.participants))]);
	for (const service of services) {
		const history = followParticipants(gateway.participants.get(service) ?? [], {
			own: isInReports ? [] : getOwn(ownReport.participants, service) ?? [],
			reports: peers.map(({id, daemons, participants, receivedAt}) => ({
				id, daemons, participants: getOwn(participants, service) ?? [], receivedAt,
			})),
			startedAt: gateway.startedAt,
			hasPeers,
			now,
			propagationMs: getPropagationMs(gateway),
		});
		gateway.participants.set(service, history);
	}

	gateway.metrics.limitedBackends.set([...gateway.registry.byId.values()].filter(state => hasStatedLimit(state)).length);
};
