/** Types of the origins of streams: what a backend server that continues a stream must have in common with the one that began it. */

/** Versions of the software write streams that don't fit together, so a stream goes on only at the one that began it. */
export type StreamOrigin = {
	readonly service: string;
	/** Version of the software of the backend server that sent the first event. */
	readonly softwareVersion: string;
};

/** What is remembered of a stream. */
export type OriginRecord = {
	/** Digest of the client account and of the id under which the stream began. */
	readonly key: string;
	/** More than one if several streams began under the id; then none of them can be continued. */
	readonly origins: readonly StreamOrigin[];
	/** When it began, and until when its caller may take it up, on the steady clock. */
	readonly begunAt: number;
	readonly expiresAt: number;
};

export type KnownOrigin =
	| {readonly kind: 'known'; readonly origin: StreamOrigin; readonly begunAt: number}
	/** Several streams began under the id. */
	| {readonly kind: 'ambiguous'}
	| {readonly kind: 'unknown'};
