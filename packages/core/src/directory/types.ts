/** Types of the directory of backend servers, which register themselves with entries in the platform's store. */

export type BackendEntry = {
	/** Id of the backend server. Together with `startedAt` it identifies the incarnation. */
	readonly id: string;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Number of slots: calls that the backend server runs concurrently. */
	readonly places: number;
	readonly isLeaving: boolean;
	/** Milliseconds until the backend server shuts down, if it has announced that. */
	readonly leavesInMs?: number | undefined;
	readonly isReclaimable: boolean;
	/** Milliseconds since the epoch, or undefined if the entry doesn't contain it. */
	readonly startedAt?: number | undefined;
	/** Version of its software, which is fixed for an incarnation. Undefined if a daemon passed the entry on that doesn't know versions. */
	readonly softwareVersion?: string | undefined;
	/** Sequence number of the entry within its incarnation. */
	readonly sequence: number;
};

export type KnownBackend = {
	readonly entry: BackendEntry;
	/** Offset of the record that holds the entry. */
	readonly offset: number;
	/** End of the grace period of a missing entry that may only have expired, on the steady clock. Undefined if the entry isn't missing. */
	readonly missingUntil: number | undefined;
};

/** A backend server that was removed, kept to recognize entries that it wrote before. */
export type RemovedBackend = {
	/** Its last known entry. */
	readonly entry: BackendEntry;
	/** When it is forgotten, on the steady clock. */
	readonly forgetAt: number;
};

export type Directory = {
	readonly backends: ReadonlyMap<string, KnownBackend>;
	/** Backend servers that were removed lately. */
	readonly removed: ReadonlyMap<string, RemovedBackend>;
	/** Offset of the next record to apply. */
	readonly next: number;
};

export const emptyDirectory: Directory = {backends: new Map(), removed: new Map(), next: 0};
