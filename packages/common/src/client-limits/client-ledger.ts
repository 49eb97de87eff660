/**
 * One account of all that clients make the process hold, on whatever listener. A listener by itself cannot tell that memory or descriptors
 * are taken by the clients of another one. When there is no room, those clients are given up that hold most for longest while it is their turn.
 */
import type net from 'node:net';
import {type OwedAnswers} from '../owed-answers.js';
import {chooseByBytes, chooseIdlest} from './choose-clients.js';
import {
	type ClientAccount, computeBytes, computeObjectBytes, makeClientAccount, recordProgress,
} from './client-account.js';
import {type ClientLimits, type ListenerName} from './client-limits.js';
import {type GiveUpKind, giveUpClient} from './give-up-client.js';

export type GivenUpClient = {
	readonly listener: ListenerName;
	readonly kind: GiveUpKind;
	/** Which limit left no room. */
	readonly limit: 'memory' | 'connections';
	readonly bytes: number;
	/** For how long the client had not done its part, in milliseconds. */
	readonly idleMs: number;
};

export type LedgerTotals = {
	readonly bytes: number;
	readonly objectBytes: number;
	readonly bodyBytes: number;
	readonly inputBytes: number;
	readonly outputBytes: number;
};

export type ClientLedger = {
	/** Opens the account of a connection until it closes. Undefined if there is no room for it. */
	readonly open: (socket: net.Socket, listener: ListenerName, answers?: OwedAnswers) => ClientAccount | undefined;
	readonly findAccount: (socket: net.Socket) => ClientAccount | undefined;
	/** Adds to what is charged since the last count, and counts again if that is much. */
	readonly charge: (bytes: number) => void;
	/** Whether there is room for so many bytes, once clients have been given up for them. */
	readonly makeRoom: (bytes: number) => boolean;
	/** Whether so much is held that clients may send nothing ahead. */
	readonly isTight: () => boolean;
	readonly getTotals: () => LedgerTotals;
	readonly countConnections: (listener: ListenerName) => number;
	/** Whether there are descriptors for so many connections that are opened for clients, beside those of the clients. */
	readonly hasDescriptorsFor: (connections: number) => boolean;
	readonly setLimits: (limits: ClientLimits) => void;
	/** Counts what is held, and gives clients up if it is too much. */
	readonly settle: () => void;
	/** Counts the connections that are open for calls of clients. Set by the owner. */
	countOpened: () => number;
	/** Called with each client that is given up. Set by the owner. */
	onGivenUp: (client: GivenUpClient) => void;
	/** Called with each connection that is refused. Set by the owner. */
	onRefused: (listener: ListenerName) => void;
};

/** How often is counted what is held: seldom while little is, as each time wakes the process. What is charged meanwhile is counted at once if it is much. */
const countIntervalMs = 100;
const calmCountIntervalMs = 1000;

/** Share of the limits below which little is held. */
const calmShare = 0.2;

/** Share of the limits from which clients may send nothing ahead. */
const tightShare = 0.6;

/** Share of the limits down to which clients are given up, so that not every request has to look for one. */
const relievedShare = 0.85;

/** Part of the limits that may be charged before it is counted again. */
const countEachPart = 1 / 16;

/** Connections beyond the limit that may still be closing. */
const closingShare = 0.05;

const addOutput = (accounts: ReadonlyMap<net.Socket, ClientAccount>, answers: OwedAnswers): void => {
	for (const {socket, response} of answers.list()) {
		const account = accounts.get(socket);
		if (account !== undefined) {
			account.outputBytes += response.writableLength - (response.socket === null ? 0 : socket.writableLength);
		}
	}
};

export const makeClientLedger = (initialLimits: ClientLimits): ClientLedger => {
	const accounts = new Map<net.Socket, ClientAccount>();
	const sources = new Map<OwedAnswers, number>();
	const connections = new Map<ListenerName, number>();
	let limits = initialLimits;
	let totals: LedgerTotals = {
		bytes: 0, objectBytes: 0, bodyBytes: 0, inputBytes: 0, outputBytes: 0,
	};
	let uncounted = 0;
	let timer: NodeJS.Timeout | undefined;

	const countOutput = (): void => {
		for (const account of accounts.values()) {
			account.lastOutputBytes = account.outputBytes;
			account.outputBytes = account.socket.writableLength;
		}

		for (const answers of sources.keys()) {
			addOutput(accounts, answers);
		}

		for (const account of accounts.values()) {
			if (account.outputBytes < account.lastOutputBytes) {
				recordProgress(account);
			}
		}
	};

	const count = (): void => {
		uncounted = 0;
		countOutput();
		let bytes = 0;
		let objectBytes = 0;
		let bodyBytes = 0;
		let inputBytes = 0;
		let outputBytes = 0;
		for (const account of accounts.values()) {
			bytes += computeBytes(account);
			objectBytes += computeObjectBytes(account);
			bodyBytes += account.bodyBytes;
			inputBytes += account.inputBytes;
			outputBytes += account.outputBytes;
		}

		totals = {
			bytes, objectBytes, bodyBytes, inputBytes, outputBytes,
		};
	};

	const giveUp = (account: ClientAccount, limit: GivenUpClient['limit']): void => {
		const bytes = computeBytes(account);
		const idleMs = performance.now() - account.progressAt;
		const kind = giveUpClient(account);
		ledger.onGivenUp({
			listener: account.listener, kind, limit, bytes, idleMs,
		});
	};

	/** Gives clients up until so many bytes are free, if those of others than the requester can be. */
	const relieve = (neededBytes: number): void => {
		for (const account of chooseByBytes(accounts.values(), neededBytes, performance.now())) {
			giveUp(account, 'memory');
		}

		count();
	};

	const getExcess = (bytes: number): number => Math.max(totals.bytes + uncounted + bytes - limits.maxBytes, totals.objectBytes - limits.maxObjectBytes);

	const settle = (): void => {
		count();
		if (getExcess(0) > 0) {
			relieve(Math.max(totals.bytes - (limits.maxBytes * relievedShare), totals.objectBytes - (limits.maxObjectBytes * relievedShare)));
		}
	};

	const isAbove = (share: number): boolean => totals.bytes + uncounted > limits.maxBytes * share || totals.objectBytes + uncounted > limits.maxObjectBytes * share;

	const startTimer = (): void => {
		timer ??= setTimeout(() => {
			timer = undefined;
			settle();
			if (accounts.size > 0) {
				startTimer();
			}
		}, isAbove(calmShare) ? countIntervalMs : calmCountIntervalMs).unref();
	};

	const countConnections = (listener: ListenerName): number => connections.get(listener) ?? 0;

	const listOf = (listener: ListenerName): ClientAccount[] => [...accounts.values()].filter(account => account.listener === listener);

	const findClosing = (listener: ListenerName): ClientAccount | undefined => listOf(listener).find(({isGivenUp, socket}) => isGivenUp && !socket.destroyed);

	/** Makes room for one more connection of the listener. */
	const makeConnectionRoom = (listener: ListenerName): boolean => {
		const max = limits.maxConnections[listener];
		// The other listeners need few, which are kept for them.
		const hasDescriptor = listener !== 'callers' || accounts.size + ledger.countOpened() < limits.maxDescriptors;
		if (countConnections(listener) < max && hasDescriptor) {
			return true;
		}

		const idlest = chooseIdlest(listOf(listener));
		if (idlest !== undefined) {
			giveUp(idlest, 'connections');
		}

		if (countConnections(listener) >= max * (1 + closingShare)) {
			findClosing(listener)?.socket.destroy();
		}

		return idlest !== undefined;
	};

	const addSource = (answers: OwedAnswers | undefined, change: 1 | -1): void => {
		if (answers === undefined) {
			return;
		}

		const users = (sources.get(answers) ?? 0) + change;
		if (users === 0) {
			sources.delete(answers);
		} else {
			sources.set(answers, users);
		}
	};

	const ledger: ClientLedger = {
		open(socket, listener, answers) {
			if (!makeConnectionRoom(listener)) {
				ledger.onRefused(listener);
				return undefined;
			}

			const account = makeClientAccount(socket, listener, answers);
			accounts.set(socket, account);
			connections.set(listener, countConnections(listener) + 1);
			addSource(answers, 1);
			startTimer();
			socket.once('close', () => {
				accounts.delete(socket);
				connections.set(listener, countConnections(listener) - 1);
				addSource(answers, -1);
			});
			return account;
		},
		findAccount: socket => accounts.get(socket),
		charge(bytes) {
			uncounted += bytes;
			if (uncounted > Math.min(limits.maxBytes, limits.maxObjectBytes) * countEachPart) {
				settle();
			}
		},
		makeRoom(bytes) {
			if (getExcess(bytes) > 0) {
				count();
			}

			if (getExcess(bytes) > 0) {
				relieve(getExcess(bytes) + (limits.maxBytes * (1 - relievedShare)));
			}

			return getExcess(bytes) <= 0;
		},
		isTight: () => isAbove(tightShare),
		getTotals() {
			count();
			return totals;
		},
		countConnections,
		hasDescriptorsFor: opened => accounts.size + opened < limits.maxDescriptors,
		setLimits(changed) {
			limits = changed;
		},
		settle,
		countOpened: () => 0,
		onGivenUp() {/* set by the owner */},
		onRefused() {/* set by the owner */},
	};
	return ledger;
};
