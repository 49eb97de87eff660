/**
 * Exchanges reports with the other keepers of account limits, and answers daemons that ask for the cost of a call. Up to the number
 * of daemons that report directly to each other all of them are keepers; beyond it two of each zone are.
 */
import {decodeValue} from '@shallotpass/common/decode-json.js';
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {dropExpiredSpending, makeKeeperReport, mergeKeeperReport} from '@shallotpass/core/quotas/exchange-keeper-reports.js';
import {keeperReportSchema} from '@shallotpass/core/quotas/keeper-report.js';
import {updateReserves} from '@shallotpass/core/quotas/keeper-reserves.js';
import {
	goneAfterMs, isHeard, type KeeperPeer, keeperReportIntervalMs, leadWeight,
} from '@shallotpass/core/quotas/keeper-state.js';
import {computeUnheardShare, pickActiveLeads, pickKeepers} from '@shallotpass/core/quotas/pick-keepers.js';
import {isIntroducing, unsettle} from '@shallotpass/core/quotas/settle-keeper.js';
import {type GatewayState} from '../gateway-state.js';
import {type Datagrams} from '../peers/datagrams.js';
import {makePeerRefusalReporter} from '../peers/report-refused.js';
import {grantCost, quotaAskSchema, settle} from './grant-cost.js';
import {readKeeperClock} from './quota-state.js';
import {makeSpendingWatch} from './watch-spending.js';

/** A keeper that has just started gets an answer within this time. */
const answerWithinMs = 20;

/** Interval of reports until the daemon is settled. */
const startIntervalMs = 50;

/** Time until a keeper has answered. A busy one takes some ten milliseconds. */
const askTimeoutMs = 120;

export type KeeperExchangeOptions = {
	readonly gateway: GatewayState;
	readonly datagrams: Datagrams;
	readonly self: GossipMember;
	readonly signal: AbortSignal;
};

/** Takes part until the signal is aborted. */
export const startKeeperExchange = ({gateway, datagrams, self, signal}: KeeperExchangeOptions): void => {
	const {quota, clocks} = gateway;
	const {keeper} = quota;
	const spendingWatch = makeSpendingWatch(gateway);
	/** When members were first known, by address, on the steady clock. */
	const knownSince = new Map<string, number>();
	/** When this daemon last was a keeper. Its spending then is reported until it has left the window. */
	let keptAt = Number.NEGATIVE_INFINITY;
	let disagreements = clocks.countDisagreements();

	const listPeersAt = (address: string): KeeperPeer[] => [...keeper.peers.values()].filter(peer => peer.address === address);

	const isHeardByGossip = (address: string): boolean => [...gateway.peers.values()].some(peer => peer.address === address);

	/** Whether a member has ended for good: as a keeper it was not heard, or it has left questions unanswered, for long. */
	const hasGone = (address: string): boolean => {
		const now = clocks.steady();
		const since = knownSince.get(address) ?? now;
		knownSince.set(address, since);
		const unanswered = quota.unanswered.get(address);
		const isUnanswered = unanswered !== undefined && unanswered.since < now - goneAfterMs;
		const isUnheard = quota.isKeeper && listPeersAt(address).length === 0 && since < now - goneAfterMs;
		return (isUnanswered || isUnheard) && !isHeardByGossip(address);
	};

	const listMembers = (): GossipMember[] => gateway.listMembers().filter(({address, keepsQuotas}) => address === self.address || (keepsQuotas === true && !hasGone(address)));

	const isActive = (address: string): boolean => address === self.address
		? gateway.drainingSince === undefined
		: listPeersAt(address).some(peer => isHeard(peer, readKeeperClock(clocks)));

	const updateKeepers = (): void => {
		const members = listMembers();
		quota.keepers = pickKeepers(members);
		const {leads, others} = quota.keepers;
		quota.unheardShare = computeUnheardShare(quota.keepers, address => address === self.address || listPeersAt(address).length > 0);
		// Until the members are read from the store there may be others.
		quota.hasUnheardKeepers = quota.unheardShare > 0 || (gateway.registeredDaemons === undefined && keeper.peers.size === 0);
		const isKeeper = gateway.drainingSince === undefined && [...leads, ...others].some(({address}) => address === self.address);
		const isLead = isKeeper && pickActiveLeads(quota.keepers, isActive).some(({address}) => address === self.address);
		const weight = isLead ? leadWeight : Number(isKeeper);
		if (weight !== keeper.weight || isKeeper !== quota.isKeeper) {
			gateway.log.write('state', 'quota_keeper', {weight, leads: leads.map(({id}) => id), others: others.length});
		}

		if (isKeeper && !quota.isKeeper) {
			unsettle(keeper, readKeeperClock(clocks));
		}

		quota.isKeeper = isKeeper;
		keeper.weight = weight;
		keptAt = isKeeper ? clocks.steady() : keptAt;
	};

	const sendReport = (): void => {
		if (clocks.steady() > keptAt + keeper.windowMs) {
			return;
		}

		const report = {...makeKeeperReport(keeper, self, readKeeperClock(clocks)), isLeaving: !quota.isKeeper};
		const since = clocks.steady() - keeper.windowMs;
		const heard = [...keeper.peers.values()].filter(({receivedAt, hasLeft}) => !hasLeft && receivedAt >= since);
		// Silent keepers get reports as well: after a cut, somebody has to be heard first.
		const addresses = new Set([...quota.keepers.leads, ...quota.keepers.others, ...heard].map(({address}) => address));
		addresses.delete(self.address);
		for (const address of addresses) {
			datagrams.notify(address, 'quota_report', report);
		}
	};

	const runRound = (): void => {
		const clock = readKeeperClock(clocks);
		const disagreementsNow = clocks.countDisagreements();
		if (disagreementsNow !== disagreements) {
			disagreements = disagreementsNow;
			unsettle(keeper, clock);
		}

		updateKeepers();
		settle(gateway);
		dropExpiredSpending(keeper, clock);
		updateReserves(keeper, clock);
		sendReport();
		if (quota.isKeeper) {
			spendingWatch.check();
		}
	};

	let answerTimer: NodeJS.Timeout | undefined;
	const reportRefused = makePeerRefusalReporter(gateway.log);
	datagrams.handle('quota_report', (parameters, sender) => {
		const decoded = decodeValue(parameters, keeperReportSchema);
		if (decoded.kind === 'refused') {
			reportRefused('quota_report', sender, decoded.field);
			return;
		}

		if (mergeKeeperReport(keeper, decoded.value, readKeeperClock(clocks))) {
			answerTimer ??= setTimeout(() => {
				answerTimer = undefined;
				runRound();
			}, answerWithinMs);
		}
	});
	datagrams.handle('ask_quota', parameters => {
		const parsed = quotaAskSchema.safeParse(parameters);
		return parsed.success ? grantCost(gateway, parsed.data) : {kind: 'unfit'};
	});
	quota.ask = async (peer, ask) => datagrams.request(peer.address, 'ask_quota', ask, askTimeoutMs);
	runRound();
	const timer = setInterval(runRound, keeperReportIntervalMs);
	// Callers wait while a daemon that has started gets to know the others.
	const startTimer = setInterval(() => {
		if (quota.isKeeper && (!keeper.isSettled || isIntroducing(keeper, quota.hasUnheardKeepers, readKeeperClock(clocks)))) {
			runRound();
		}
	}, startIntervalMs);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
		clearInterval(startTimer);
		clearTimeout(answerTimer);
	}, {once: true});
};
