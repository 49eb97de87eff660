/** Sends notifications and status queries to peers. */
import {type PeerStatus} from '@shallotpass/admin/admin-services.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {type Member} from '@shallotpass/core/membership/types.js';
import {type Suspect} from '@shallotpass/core/retries/suspects.js';
import {type PeerClient} from '@shallotpass/peers/peer-client.js';
import {type PeerParameters} from '@shallotpass/peers/peer-methods.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';

/** Time limit for a response from a peer. */
export const peerTimeoutMs = 1500;

/** Number of peers to which a new version is announced immediately. They announce it to others. */
const versionFanOut = 3;

type PeerVersions = {
	readonly address: string;
	readonly versions: Readonly<Record<string, number>>;
};

export type PeerMessenger = {
	/** Returns random peers, fewer than `count` if there are not enough. */
	readonly pickPeers: (count: number) => Member[];
	/** Sends the versions in force in this daemon to a few peers and passes the versions in their responses to `onVersions`. */
	readonly announceVersions: (onVersions: (versions: PeerVersions) => void) => Promise<void>;
	readonly sendSuspects: (suspects: readonly Suspect[], lifted: readonly string[]) => Promise<void>;
	readonly sendLeavingNotice: (backendId: string, leavesAt: number) => Promise<void>;
	/** Returns the versions in force on each peer. `versions` is undefined if a peer does not respond. */
	readonly fetchStatuses: () => Promise<PeerStatus[]>;
};

type PeerMessengerOptions = {
	readonly environment: Environment;
	readonly client: PeerClient;
	readonly membership: MembershipTask;
	readonly getVersions: () => Record<string, number>;
};

export const makePeerMessenger = ({environment, client, membership, getVersions}: PeerMessengerOptions): PeerMessenger => {
	const {clock, random} = environment;
	const logger = environment.makeLogger('daemon');
	const makeDeadline = () => addMilliseconds(clock.now(), peerTimeoutMs);

	const pickPeers = (count: number): Member[] => membership.listPeers()
		.map(member => ({member, order: random()}))
		.toSorted((left, right) => left.order - right.order)
		.slice(0, count)
		.map(entry => entry.member);

	const exchangeVersions = async (address: string, onVersions: (versions: PeerVersions) => void): Promise<void> => {
		try {
			const {versions} = await client.call(address, 'probe', {
				updates: [membership.getSelf()], versions: getVersions(), wantsIntroduction: false,
			}, makeDeadline());
			onVersions({address, versions});
		} catch {
			// Later probes carry the versions too.
		}
	};

	/** Sends the message once to each peer. Peers that do not respond receive the information later or in another way. */
	const sendToAll = async <Method extends 'suspects' | 'leaving'>(method: Method, parameters: PeerParameters<Method>): Promise<void> => {
		await Promise.all(membership.listPeers().map(async ({address}) => {
			try {
				await client.call(address, method, parameters, makeDeadline());
			} catch (error) {
				logger.debug('peer_not_told', {method, address, error});
			}
		}));
	};

	const fetchStatus = async ({id, availabilityZone, address}: Member): Promise<PeerStatus> => {
		try {
			const {versions} = await client.call(address, 'status', {}, makeDeadline());
			return {id, availabilityZone, versions};
		} catch {
			return {id, availabilityZone, versions: undefined};
		}
	};

	return {
		pickPeers,
		async announceVersions(onVersions) {
			await Promise.all(pickPeers(versionFanOut).map(async member => exchangeVersions(member.address, onVersions)));
		},
		sendSuspects: async (suspects, lifted) => sendToAll('suspects', {suspects: suspects.map(suspect => ({...suspect, deaths: [...suspect.deaths]})), lifted: [...lifted]}),
		sendLeavingNotice: async (backendId, leavesAt) => sendToAll('leaving', {backendId, leavesAt}),
		fetchStatuses: async () => Promise.all(membership.listPeers().map(async member => fetchStatus(member))),
	};
};
