/** State shared by the components of one gateway daemon. The comments of mutable fields name the components that write them. */
import {type OwedAnswers} from '@shallotpass/common/owed-answers.js';
import {type UsualDemand} from '@shallotpass/core/admission/usual-demand.js';
import {type CrashLedger} from '@shallotpass/core/crashes/crash-ledger.js';
import {type CrashVerdict} from '@shallotpass/core/crashes/types.js';
import {type GossipMember} from '@shallotpass/core/gossip/pick-relays.js';
import {isSum, type GossipReport} from '@shallotpass/core/gossip/gossip-report.js';
import {type ParticipantHistory} from '@shallotpass/core/limits/participants.js';
import {type SpendingRecord} from '@shallotpass/core/quotas/settle-keeper.js';
import {type IndexedConfiguration} from '@shallotpass/core/calls/index-configuration.js';
import {type WorkRate} from '@shallotpass/core/engines/work-rate.js';
import {type PartUses} from '@shallotpass/core/placement/part-uses.js';
import {type DaemonCounts} from '@shallotpass/core/retries/sharing-daemons.js';
import {type RepeatAccount} from '@shallotpass/core/retries/repeat-account.js';
import {type UsageTally} from '@shallotpass/core/usage/count-starts.js';
import {type PathState} from '@shallotpass/core/paths/path-state.js';
import {type ClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {type HeldBytes} from '@shallotpass/common/client-limits/held-bytes.js';
import {type AcceptBacklog} from './calls/accept-backlog.js';
import {type BackendRegistry} from './calls/backend-registry.js';
import {type UnfinishedEvents} from './calls/unfinished-events.js';
import {type LanesOfService} from './calls/long-prompts.js';
import {type Clocks} from './clocks.js';
import {type LoopMonitor} from './loop-monitor.js';
import {type EventLog} from './telemetry/event-log.js';
import {type GatewayMetrics} from './telemetry/gateway-metrics.js';
import {type GatewaySettings} from './gateway-settings.js';
import {type Engines, type WireFormat} from './ports.js';
import {type OriginState} from './origins/origin-state.js';
import {type QuotaState} from './quotas/quota-state.js';
import {type RolloutState} from './rollouts/rollout-state.js';

/** Latest report of another daemon, or of a relay on behalf of several daemons. */
export type PeerReport = GossipReport & {
	/** When the report arrived, on the steady clock. */
	readonly receivedAt: number;
	/** The sender's true time minus this daemon's steady clock on arrival. Undefined if no report was read as it arrived. */
	readonly clockOffset: number | undefined;
};

/** Origin and age of this daemon's directory of backend servers. */
export type DirectoryStatus = {
	/** Offset of the first record of the store that the directory doesn't include. */
	readonly offset: number;
	/** `store`, or the address of the daemon that last changed the directory or confirmed that it is up to date. */
	readonly source: string;
	/** Time as of which it was last known to be up to date, on the steady clock. */
	readonly confirmedAt: number;
	/** When the store itself last answered this daemon, on the steady clock. */
	readonly storeAnsweredAt: number;
};

/** Calls between daemons. */
export type PeerCalls = {
	/** Calls in flight that this daemon sent through a peer, by its address. */
	readonly sent: Map<string, number>;
	/** Calls of peers that this daemon is serving. */
	received: number;
	/** Until when no calls are sent through a peer that could not take one, by address, on the steady clock. */
	readonly avoidedUntil: Map<string, number>;
	/** The same for availability zones, where nothing else tells which of their daemons are cut off. */
	readonly avoidedZonesUntil: Map<string, number>;
	/** Until when no peer is asked for a service that none of them could serve, on the steady clock. */
	readonly unservedUntil: Map<string, number>;
	/** Whether this daemon's timers run late, so that it takes no calls of peers. */
	isBusy: boolean;
};

export type GatewayState = {
	/** Replaced when the settings file changes, except the addresses of listeners. Written by `reload`. */
	settings: GatewaySettings;
	/** Unique id of this run of the process. */
	readonly incarnation: string;
	readonly clocks: Clocks;
	readonly loop: LoopMonitor;
	readonly acceptBacklog: AcceptBacklog;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly wire: WireFormat;
	readonly engines: Engines;
	readonly random: () => number;
	/** Written by `applyConfiguration`. */
	configuration: IndexedConfiguration | undefined;
	/** When the configuration was last confirmed to be the newest, on the steady clock. Written by `followConfiguration` and the peer queries. */
	configurationCheckedAt: number;
	/** Written by the directory follower, calls and gossip. */
	readonly registry: BackendRegistry;
	/** Whether connections to backend servers can be opened. Written by `track-paths.ts`. */
	paths: PathState;
	/** Called when the paths to all backend servers are lost. Written by calls. */
	readonly onPathsLost: Set<() => void>;
	/** Earliest time of the next probes that confirm a loss, on the steady clock. Written by `confirmLoss`. */
	nextSuspicionAt: number;
	/** Earliest time of the next call that renews what is known of a backend server, on the steady clock. Written by calls. */
	nextAskAt: number;
	/** Calls that are sent through peers, or served for them. */
	readonly peerCalls: PeerCalls;
	/** When the directory was first read, on the steady clock. Written by the directory follower. */
	directoryReadAt: number | undefined;
	/** Written by the directory follower. */
	directoryStatus: DirectoryStatus;
	/** What is remembered of streams that callers may take up. */
	readonly origins: OriginState;
	/** Rollouts of services to other software versions. */
	readonly rollouts: RolloutState;
	/** This daemon's part in keeping the limits of client accounts. */
	readonly quota: QuotaState;
	/** Spending of accounts before this daemon started, as the store holds it. Written by the lease record and the leader task. */
	inherited: SpendingRecord;
	/** Whether callers need not wait for the earlier spending of accounts any more. Written by the leader task. */
	isSpendingLoaded: boolean;
	/** Start of this process, on the steady clock. */
	readonly startedAt: number;
	/** Repeats of calls, by service. Written by calls. */
	readonly repeatAccounts: Map<string, RepeatAccount>;
	/** Until when a predecessor of this daemon may have repeated calls within the window, on the steady clock. Written at the start. */
	inheritsRepeatsUntil: number;
	/** Numbers of daemons that were known lately. Written by `observeDaemons`. */
	daemonCounts: DaemonCounts;
	/** Started calls by usage window and account. Written by calls. */
	readonly usage: UsageTally;
	/** Evidence about requests that may crash backend servers. Written by calls and gossip. */
	readonly crashes: CrashLedger;
	/** Whether crashes are known that no report of this daemon contains yet: seen here, or learned from a peer. Written by calls and gossip. */
	readonly unreportedCrashes: {areOwn: boolean; areFromPeers: boolean};
	/** Verdicts of which this daemon tries a request, by name, and when it is given up, on the steady clock. Written by calls. */
	readonly crashTrials: Map<string, number>;
	/** Verdicts that were logged, by name. Written by `announceVerdicts`. */
	announcedVerdicts: ReadonlyMap<string, CrashVerdict>;
	/** Rate of the prompt tokens that callers send, cached or not, by service. Written by calls. */
	readonly workRates: Map<string, WorkRate>;
	/** The same of long prompts, for services with mixed streams. Written by calls. */
	readonly longWorkRates: Map<string, WorkRate>;
	/** Backend servers kept free for long prompts, by service. Written by `long-prompts.ts`. */
	readonly lanes: Map<string, LanesOfService>;
	/** Uses of shared prompt parts, by service. Written by calls. */
	readonly partUses: Map<string, PartUses>;
	/** What accounts usually ask for, by name. Written by gossip. */
	readonly usualDemands: Map<string, UsualDemand>;
	/** Rate of the calls that callers send, by service. Written by calls. */
	readonly callRates: Map<string, WorkRate>;
	/** When calls of each rank were last received, by service, on the steady clock. Written by calls. */
	readonly rankTimes: Map<string, number[]>;
	/** Daemons that share the limits of backend servers, by service. Written by gossip. */
	readonly participants: Map<string, ParticipantHistory>;
	/** Level of this daemon in its reports as a participant, by service. Written by gossip. */
	readonly participantLevels: Map<string, number>;
	/** Whether limits have changed that no report of this daemon contains yet: stated to this daemon, or learned from a peer. Written by calls and gossip. */
	readonly unreportedLimits: {areOwn: boolean; areFromPeers: boolean};
	/** Latest reports of peers, by incarnation. Written by gossip. */
	readonly peers: Map<string, PeerReport>;
	/** Lists the daemons that this one knows. Set by gossip. */
	listMembers: () => readonly GossipMember[];
	/** Number of daemons in the store's list of members, some of which may have ended. Undefined until it is read. Written by `joinMembers`. */
	registeredDaemons: number | undefined;
	/** When draining began after SIGTERM, on the steady clock. */
	drainingSince: number | undefined;
	/** Aborted in a drain shortly before the process ends: calls whose answers have not begun are then refused. */
	readonly lastAnswers: AbortController;
	/** Aborted when the daemon stops. */
	readonly stopSignal: AbortSignal;
	/** Number of calls in flight. */
	activeCalls: number;
	/** Calls of that which were admitted. */
	runningCalls: number;
	/** Answers that are owed to callers and peers, from the head of a request to the delivery of its answer. */
	readonly answers: OwedAnswers;
	/** Bytes of the bodies that calls hold. */
	/** What clients make the daemon hold, on all listeners. */
	readonly ledger: ClientLedger;
	/** The bodies of that. */
	readonly heldBytes: HeldBytes;
	/** Bytes of unfinished events that streams hold. */
	readonly unfinishedEvents: UnfinishedEvents;
};

/** Peers whose last report is older than this are not counted. Reports arrive three times a second. */
export const peerExpiryMs = 2500;

/** Most calls of peers that a daemon serves at a time. Each takes some 100 kB of memory and a connection. */
export const maxPeerCalls = 96;

/** Counts the further calls of peers that this daemon can serve. */
export const countPeerCallRoom = ({peerCalls, drainingSince}: GatewayState): number =>
	peerCalls.isBusy || drainingSince !== undefined ? 0 : Math.max(0, maxPeerCalls - peerCalls.received);

/** Counts this daemon and all daemons covered by recent reports. One that has just started again counts once. */
export const countDaemons = (state: GatewayState): number => {
	const since = state.clocks.steady() - peerExpiryMs;
	const ids = new Set([state.settings.instance.id]);
	let summed = 0;
	for (const peer of state.peers.values()) {
		if (peer.receivedAt < since) {
			continue;
		}

		if (isSum(peer)) {
			summed += peer.daemons;
		} else {
			ids.add(peer.id);
		}
	}

	return ids.size + summed;
};
