/** Backend servers as their own entries in the platform's store describe them. */

export type BackendEntry = {
	/** Name of one incarnation's holder; with `startedAt` it names the incarnation. */
	readonly id: string;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly places: number;
	readonly isLeaving: boolean;
	/** Milliseconds until the backend server ends, where it says so. */
	readonly leavesInMs: number | undefined;
	readonly isReclaimable: boolean;
	/** Milliseconds since the epoch; undefined where the entry does not say. */
	readonly startedAt: number | undefined;
	/** Number of the entry within its incarnation. */
	readonly sequence: number;
};

export type KnownBackend = {
	readonly entry: BackendEntry;
	/** Offset of the record that says so. */
	readonly offset: number;
	/** Set while the entry is missing though it may only have lapsed: when it counts as gone, on the steady clock. */
	readonly missingUntil: number | undefined;
};

export type Directory = {
	readonly backends: ReadonlyMap<string, KnownBackend>;
	/** First offset that has not been folded. */
	readonly next: number;
};

export const emptyDirectory: Directory = {backends: new Map(), next: 0};
