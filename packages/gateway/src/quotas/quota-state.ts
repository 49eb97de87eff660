/** State of a daemon's part in keeping the limits of client accounts. */
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {type KeeperClock, type KeeperState, makeKeeper} from '@shallotpass/core/quotas/keeper-state.js';
import {type Keepers} from '@shallotpass/core/quotas/pick-keepers.js';
import {type Clocks} from '../clocks.js';
import {type GatewaySettings} from '../gateway-settings.js';
import {type QuotaAnswer, type QuotaAsk} from './grant-cost.js';

export type QuotaState = {
	/** Written by the keeper exchange and by calls. */
	readonly keeper: KeeperState;
	/** The daemons that keep limits, as far as this one knows. Written by the keeper exchange. */
	keepers: Keepers;
	/** Part of the limits that belongs to keepers which this one never heard. Written by the keeper exchange. */
	unheardShare: number;
	/** Whether this daemon keeps limits. Written by the keeper exchange. */
	isKeeper: boolean;
	/** Whether there may be keepers which this one never heard. Written by the keeper exchange. */
	hasUnheardKeepers: boolean;
	/** Keepers that do not answer, by address, with the time until which they are not asked, on the steady clock. Written by calls. */
	readonly avoidedUntil: Map<string, number>;
	/** How many questions in a row a keeper left unanswered, and when it left the first one, by address. Written by calls. */
	readonly unanswered: Map<string, {readonly count: number; readonly since: number}>;
	/** Keepers that had no room, by account and address, with the answer and the time until which it holds. Written by calls. */
	readonly refusals: Map<string, {readonly answer: QuotaAnswer & {readonly kind: 'refused'}; readonly until: number}>;
	/** Asks the keepers; set by the keeper exchange. */
	ask: ((keeper: GossipMember, ask: QuotaAsk) => Promise<unknown>) | undefined;
};

export const readKeeperClock = ({steady, trueTime}: Clocks): KeeperClock => ({steady: steady(), trueTime: trueTime()});

export type QuotaStateOptions = {
	readonly settings: GatewaySettings;
	readonly incarnation: string;
	readonly clocks: Clocks;
};

export const makeQuotaState = ({settings, incarnation, clocks}: QuotaStateOptions): QuotaState => ({
	keeper: makeKeeper({
		id: settings.instance.id, incarnation, windowMs: settings.bounds.quotaWindowMs, clock: readKeeperClock(clocks),
	}),
	keepers: {leads: [], others: []},
	isKeeper: false,
	unheardShare: 0,
	hasUnheardKeepers: true,
	avoidedUntil: new Map(),
	unanswered: new Map(),
	refusals: new Map(),
	ask: undefined,
});
