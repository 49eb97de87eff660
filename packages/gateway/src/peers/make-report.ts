/** Builds the gossip report of this daemon. */
import {reportCrashes} from '@shallotpass/core/crashes/reported-evidence.js';
import {decayPrefillRecord} from '@shallotpass/core/placement/engine-latency.js';
import {decayPlainRecord, reportPlainCalls} from '@shallotpass/core/placement/plain-durations.js';
import {listOwnCounts} from '@shallotpass/core/usage/count-starts.js';
import {computeWorkRate} from '@shallotpass/core/engines/work-rate.js';
import {type GossipReport, type StoreVersions} from '@shallotpass/core/gossip/gossip-report.js';
import {computeAsked} from '@shallotpass/core/quotas/keeper-shares.js';
import {computeSpentSlots} from '@shallotpass/core/quotas/spending.js';
import {reportBrittleness} from '../calls/backend-brittleness.js';
import {reportUnsoundness} from '../calls/backend-soundness.js';
import {countPeerCallRoom, type GatewayState} from '../gateway-state.js';
import {isCutOff} from '../paths/track-paths.js';
import {reportRollouts} from '../rollouts/report-rollouts.js';
import {reportLimits, reportParticipants} from './share-limits.js';

/** Number of usage windows in a report: the current one and those whose usage report may still be due. */
const reportedWindowCount = 3;

/** Minimum measured prefill time. Shorter measurements are too inaccurate to report a backend server's speed. */
const minReportedMs = 10;

const roundAmounts = (amounts: Iterable<readonly [string, number]>): Record<string, number> =>
	Object.fromEntries([...amounts].map(([key, amount]) => [key, Math.round(amount)] as const).filter(([, amount]) => amount > 0));

export type ReportInput = {
	readonly leaseOffset: number;
	readonly known: StoreVersions;
	/** Whether the report contains verdicts that were reported before. */
	readonly repeatsVerdicts: boolean;
};

export const makeReport = (gateway: GatewayState, {leaseOffset, known, repeatsVerdicts}: ReportInput): GossipReport => {
	const {settings, incarnation, registry, usage, paths, quota: {keeper}} = gateway;
	const now = gateway.clocks.steady();
	const loads: Array<[string, number[]]> = [];
	for (const state of registry.byId.values()) {
		const {tokens, ms} = decayPrefillRecord(state.prefill, now);
		// Calls on a lost path are no load.
		const isUnheard = paths.lostSince !== undefined && state.lastReadAt <= paths.lostSince;
		const plain = reportPlainCalls(decayPlainRecord(state.plainCalls, now));
		if (!isUnheard && (state.running > 0 || ms >= minReportedMs || plain.length > 0)) {
			loads.push([state.entry.id, [...[state.running, ...state.pendingTokens, tokens, ms].map(amount => Math.round(amount)), ...plain]]);
		}
	}

	const windows = listOwnCounts(usage).toSorted(([left], [right]) => right - left).slice(0, reportedWindowCount);
	return {
		id: settings.instance.id,
		incarnation,
		address: settings.listen.peers,
		availabilityZone: settings.instance.availabilityZone,
		linkMbps: settings.instance.linkMbps,
		keepsQuotas: true,
		keepsOrigins: true,
		daemons: 1,
		silentDaemons: 0,
		known,
		demands: roundAmounts([...keeper.demands.keys()].map(account => [account, computeAsked(keeper, account, {steady: now, trueTime: gateway.clocks.trueTime()})] as const)),
		spent: Object.fromEntries([...keeper.payments].map(([account, spending]) => [account, computeSpentSlots(spending, now).map(cost => Math.round(cost))])),
		loads: Object.fromEntries(loads),
		usage: Object.fromEntries(windows.map(([window, counts]) => [window, {[incarnation]: counts}])),
		work: roundAmounts([...gateway.workRates].map(([service, rate]) => [service, computeWorkRate(rate, now)] as const)),
		longWork: roundAmounts([...gateway.longWorkRates].map(([service, rate]) => [service, computeWorkRate(rate, now)] as const)),
		leaseOffset,
		trueTime: gateway.clocks.trueTime(),
		limits: reportLimits(gateway),
		brittle: reportBrittleness(gateway),
		unsound: reportUnsoundness(gateway),
		participants: reportParticipants(gateway),
		...reportRollouts(gateway, repeatsVerdicts),
		peerCalls: {room: countPeerCallRoom(gateway), isCutOff: isCutOff(gateway)},
		crashes: {},
		crashEvidence: reportCrashes(gateway.crashes, {now, hasVerdicts: repeatsVerdicts}),
	};
};
