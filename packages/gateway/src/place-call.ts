/** Picks the backend server for a call out of the book. */
import {type Call, isStream} from '@shallotpass/core/calls/types.js';
import {type Choice, chooseBackend} from '@shallotpass/core/placement/choose-backend.js';
import {hashText, weighMember} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {type BackendState, toView} from './backend-book.js';
import {countDaemons, type GatewayState} from './gateway-state.js';

/** Part of a service's connections that this daemon takes; the rest covers daemons that are not known of yet and connections that are closing. */
const usedPartOfConnections = 0.85;

/** Prompts longer than this share parts worth finding; shorter ones are read in a few milliseconds. */
const leastSharedTokens = 64;

/** The backend server that a part belongs to as long as no daemon knows better: daemons agree on it without a message. */
const findHome = (partId: string, states: readonly BackendState[]): BackendState | undefined => {
	const keyHash = hashText(partId);
	let home: BackendState | undefined;
	let homeWeight = Number.NEGATIVE_INFINITY;
	for (const state of states) {
		const weight = weighMember(keyHash, hashText(state.incarnation));
		if (weight > homeWeight) {
			home = state;
			homeWeight = weight;
		}
	}

	return home;
};

/** Tokens of the call's prompt that a backend server is believed to hold: a part counts only when all before it do. */
const countCachedTokens = (call: Call, state: BackendState, homes: ReadonlyMap<string, BackendState | undefined>): number => {
	let tokens = 0;
	for (const part of call.promptParts) {
		if (!state.prefixes.has(part.id) && homes.get(part.id) !== state) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
};

const listHomes = (call: Call, states: readonly BackendState[]): Map<string, BackendState | undefined> => {
	const homes = new Map<string, BackendState | undefined>();
	// The last part belongs to the call itself.
	const shared = call.promptParts.slice(0, -1);
	// Parts that begin all prompts are everywhere soon; the last shared part decides.
	const deciding = shared.at(-1);
	if (deciding !== undefined && deciding.tokens >= leastSharedTokens) {
		const home = findHome(deciding.id, states);
		for (const part of shared) {
			homes.set(part.id, home);
		}
	}

	return homes;
};

export type Placement = {
	readonly state: BackendState;
	readonly choice: Choice;
	readonly cachedTokens: number;
};

export type PlaceOptions = {
	/** Backend servers that have refused or failed this call. */
	readonly tried: ReadonlySet<string>;
};

export const placeCall = (gateway: GatewayState, call: Call, options: PlaceOptions): Placement | undefined => {
	const now = gateway.clocks.steady();
	const service = gateway.configuration?.servicesByName.get(call.service);
	const ready = gateway.book.byService.get(call.service) ?? [];
	const states = ready.filter(state => state.suspendedUntil <= now && !options.tried.has(state.incarnation));
	const mostOwn = Math.max(2, Math.floor((service?.maxConnections ?? 64) * usedPartOfConnections / countDaemons(gateway)));
	const homes = listHomes(call, states);
	const cached = new Map(states.map(state => [state.entry.id, countCachedTokens(call, state, homes)]));
	const views = states.map(state => toView(state, cached.get(state.entry.id) ?? 0, mostOwn, now));
	const placed = {
		rank: call.rank,
		promptTokens: call.promptTokens,
		isStream: isStream(call.repeatability),
		isBoundToOne: call.repeatability === 'stream_once',
	};
	const choice = chooseBackend(views, placed, gateway.random);
	const state = choice && gateway.book.byId.get(choice.id);
	return choice && state && {state, choice, cachedTokens: cached.get(choice.id) ?? 0};
};
