/**
 * Exchanges reports with the other keepers of account limits, and answers daemons that ask for the cost of a call. Up to the number
 * of daemons that report directly to each other all of them are keepers; beyond it two of each zone are.
 */
import {type GossipMember, needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {dropExpiredSpending, makeKeeperReport, mergeKeeperReport} from '@shallotpass/core/quotas/exchange-keeper-reports.js';
import {keeperReportSchema} from '@shallotpass/core/quotas/keeper-report.js';
import {updateReserves} from '@shallotpass/core/quotas/keeper-reserves.js';
import {isHeard, keeperReportIntervalMs, leadWeight} from '@shallotpass/core/quotas/keeper-state.js';
import {pickKeepers} from '@shallotpass/core/quotas/pick-keepers.js';
import {unsettle} from '@shallotpass/core/quotas/settle-keeper.js';
import {type GatewayState, peerExpiryMs} from '../gateway-state.js';
import {type Datagrams} from '../peers/datagrams.js';
import {grantCost, quotaAskSchema, settle} from './grant-cost.js';
import {readKeeperClock} from './quota-state.js';
import {makeSpendingWatch} from './watch-spending.js';

/** A keeper that has just started gets an answer within this time. */
const answerWithinMs = 20;

/** Time until a keeper has answered. A busy one takes some ten milliseconds. */
const askTimeoutMs = 120;

/** A member that is expected as a keeper and was not heard for this long is taken for ended. */
const expectKeeperMs = 3000;

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
	/** Since when members are expected as keepers, by address, on the steady clock. */
	const expectedSince = new Map<string, number>();
	/** When this daemon last was a keeper. Its spending then is reported until it has left the window. */
	let keptAt = Number.NEGATIVE_INFINITY;
	let disagreements = clocks.countDisagreements();

	const isHeardDirectly = (address: string): boolean => {
		const since = clocks.steady() - peerExpiryMs;
		return [...gateway.peers.values()].some(peer => peer.address === address && peer.keepsQuotas === true && peer.receivedAt >= since);
	};

	/** Whether a member that has sent no report as a keeper may be one. */
	const isExpected = ({address, keepsQuotas}: GossipMember, areAllKeepers: boolean): boolean => {
		if (areAllKeepers) {
			return isHeardDirectly(address);
		}

		const since = expectedSince.get(address) ?? clocks.steady();
		expectedSince.set(address, since);
		return keepsQuotas === true && (!quota.isKeeper || clocks.steady() < since + expectKeeperMs);
	};

	const isAlive = (member: GossipMember, areAllKeepers: boolean): boolean => {
		if (member.address === self.address) {
			return gateway.drainingSince === undefined;
		}

		if ((quota.avoidedUntil.get(member.address) ?? 0) > clocks.steady()) {
			return false;
		}

		const known = [...keeper.peers.values()].filter(({address}) => address === member.address);
		return known.length === 0 ? isExpected(member, areAllKeepers) : known.some(peer => isHeard(peer, readKeeperClock(clocks)));
	};

	const updateKeepers = (): void => {
		const members = [...gateway.listMembers()];
		const areAllKeepers = !needsRelays(members.length);
		const aliveAddresses = new Set(members.filter(member => isAlive(member, areAllKeepers)).map(({address}) => address));
		quota.keepers = pickKeepers(members, address => aliveAddresses.has(address));
		const known = quota.keepers.leads.length + quota.keepers.others.length;
		// Until the members are read from the store there may be others.
		quota.expectedKeepers = Math.max(known, areAllKeepers ? members.length : 0, gateway.registeredDaemons === undefined ? 2 : 1);
		const isLead = quota.keepers.leads.some(({address}) => address === self.address);
		const isKeeper = isLead || quota.keepers.others.some(({address}) => address === self.address);
		const weight = isLead ? leadWeight : Number(isKeeper);
		if (weight !== keeper.weight || isKeeper !== quota.isKeeper) {
			gateway.log.write('state', 'quota_keeper', {weight, leads: quota.keepers.leads.map(({id}) => id), others: quota.keepers.others.length});
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
		const keepers = [...quota.keepers.leads, ...quota.keepers.others];
		const since = clocks.steady() - keeper.windowMs;
		const heard = [...keeper.peers.values()].filter(({receivedAt, hasLeft}) => !hasLeft && receivedAt >= since);
		const addresses = new Set([...keepers, ...heard].map(({address}) => address));
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
	datagrams.handle('quota_report', parameters => {
		const parsed = keeperReportSchema.safeParse(parameters);
		if (parsed.success && mergeKeeperReport(keeper, parsed.data, readKeeperClock(clocks))) {
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
	signal.addEventListener('abort', () => {
		clearInterval(timer);
		clearTimeout(answerTimer);
	}, {once: true});
};
