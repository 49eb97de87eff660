/** Chooses whose connections are given up when clients make the process hold too much. */
import {
	type ClientAccount, computeBytes, isWaitingForClient,
} from './client-account.js';

/** A client that has done its part so lately is given up only if no other can be. */
const graceMs = 1000;

const isCandidate = (account: ClientAccount): boolean => !account.isGivenUp && isWaitingForClient(account);

type Weighed = {readonly account: ClientAccount; readonly weight: number; readonly bytes: number};

/**
 * Chooses clients that hold this many bytes together, of those that are to do something next: first those that hold
 * most for longest.
 */
export const chooseByBytes = (accounts: Iterable<ClientAccount>, neededBytes: number, now: number): ClientAccount[] => {
	const weighed: Weighed[] = [];
	for (const account of accounts) {
		if (isCandidate(account)) {
			const bytes = computeBytes(account);
			weighed.push({account, bytes, weight: bytes * (graceMs + now - account.progressAt)});
		}
	}

	weighed.sort((left, right) => right.weight - left.weight);
	const chosen: ClientAccount[] = [];
	let chosenBytes = 0;
	for (const {account, bytes} of weighed) {
		if (chosenBytes >= neededBytes) {
			break;
		}

		chosen.push(account);
		chosenBytes += bytes;
	}

	return chosen;
};

/** Chooses the client whose connection is of least use: one that has sent no request, or else the one that has done nothing for longest. */
export const chooseIdlest = (accounts: Iterable<ClientAccount>): ClientAccount | undefined => {
	let idlest: ClientAccount | undefined;
	for (const account of accounts) {
		if (!isCandidate(account)) {
			continue;
		}

		if (idlest === undefined || isIdler(account, idlest)) {
			idlest = account;
		}
	}

	return idlest;
};

const isIdler = (left: ClientAccount, right: ClientAccount): boolean => left.hasSentRequest === right.hasSentRequest
	? left.progressAt < right.progressAt
	: !left.hasSentRequest;
