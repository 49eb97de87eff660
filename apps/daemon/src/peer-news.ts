/** What this daemon tells its peers without being asked, and what it asks all of them. */
import {type PeerStatus} from '@shallotpass/admin/admin-services.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {type Member} from '@shallotpass/core/membership/types.js';
import {type Suspect} from '@shallotpass/core/retries/suspects.js';
import {type PeerClient} from '@shallotpass/peers/peer-client.js';
import {type PeerParameters} from '@shallotpass/peers/peer-methods.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {type MembershipTask} from '@shallotpass/tasks/membership-task.js';

/** Time for a peer to answer. */
export const peerTimeoutMs = 1500;

/** Peers that are told at once of a new version; they tell others. */
const spreadCount = 3;

type PeerVersions = {
	readonly address: string;
	readonly versions: Readonly<Record<string, number>>;
};

export type PeerNews = {
	/** Peers at random. */
	readonly pickPeers: (count: number) => Member[];
	/** Tells a few peers which versions are in force here; what they have is handed to `takeVersions`. */
	readonly spreadVersions: (takeVersions: (versions: PeerVersions) => void) => Promise<void>;
	readonly tellSuspects: (suspects: readonly Suspect[], lifted: readonly string[]) => Promise<void>;
	readonly tellLeaving: (backendId: string, leavesAt: number) => Promise<void>;
	/** What each peer has in force; `versions` is missing where one does not answer. */
	readonly askStatuses: () => Promise<PeerStatus[]>;
};

type PeerNewsOptions = {
	readonly environment: Environment;
	readonly client: PeerClient;
	readonly membership: MembershipTask;
	readonly getVersions: () => Record<string, number>;
};

export const makePeerNews = ({environment, client, membership, getVersions}: PeerNewsOptions): PeerNews => {
	const {clock, random} = environment;
	const logger = environment.makeLogger('daemon');
	const getDeadline = () => addMilliseconds(clock.now(), peerTimeoutMs);

	const pickPeers = (count: number): Member[] => membership.listPeers()
		.map(member => ({member, order: random()}))
		.toSorted((left, right) => left.order - right.order)
		.slice(0, count)
		.map(entry => entry.member);

	const tellVersions = async (address: string, takeVersions: (versions: PeerVersions) => void): Promise<void> => {
		try {
			const {versions} = await client.ask(address, 'probe', {
				updates: [membership.getSelf()], versions: getVersions(), wantsIntroduction: false,
			}, getDeadline());
			takeVersions({address, versions});
		} catch {
			// The next probes carry the versions too.
		}
	};

	/** Tells each peer once; one that does not answer learns it in another way, or later. */
	const tellAll = async <Method extends 'suspects' | 'leaving'>(method: Method, parameters: PeerParameters<Method>): Promise<void> => {
		await Promise.all(membership.listPeers().map(async ({address}) => {
			try {
				await client.ask(address, method, parameters, getDeadline());
			} catch (error) {
				logger.debug('peer_not_told', {method, address, error});
			}
		}));
	};

	const askStatus = async ({id, availabilityZone, address}: Member): Promise<PeerStatus> => {
		try {
			const {versions} = await client.ask(address, 'status', {}, getDeadline());
			return {id, availabilityZone, versions};
		} catch {
			return {id, availabilityZone, versions: undefined};
		}
	};

	return {
		pickPeers,
		async spreadVersions(takeVersions) {
			await Promise.all(pickPeers(spreadCount).map(async member => tellVersions(member.address, takeVersions)));
		},
		tellSuspects: async (suspects, lifted) => tellAll('suspects', {suspects: suspects.map(suspect => ({...suspect, deaths: [...suspect.deaths]})), lifted: [...lifted]}),
		tellLeaving: async (backendId, leavesAt) => tellAll('leaving', {backendId, leavesAt}),
		askStatuses: async () => Promise.all(membership.listPeers().map(async member => askStatus(member))),
	};
};
