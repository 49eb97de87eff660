/** The cloud as fleet duty sees it; adapters are in the platform package. */

export type CloudInstance = {
	readonly id: string;
	/** What it was started by. */
	readonly token: string;
	readonly availabilityZone: string;
	readonly machineClass: string;
	readonly isReclaimable: boolean;
	readonly startedAt: number;
	readonly isLeaving: boolean;
};

export type StartOptions = Pick<CloudInstance, 'token' | 'availabilityZone' | 'machineClass' | 'isReclaimable'> & {
	readonly signal?: AbortSignal;
};

export type StartReply =
	| 'started'
	| 'refused'
	/** The token's instance was started before, and has ended. */
	| 'ended';

/**
 * Starts and ends instances. A token starts one instance, however often it is sent; so a
 * call that rejects, which may have taken effect, is sent again.
 */
export type CloudService = {
	readonly start: (options: StartOptions) => Promise<StartReply>;
	/** Ending what is gone changes nothing. */
	readonly end: (id: string, signal?: AbortSignal) => Promise<void>;
	readonly list: (signal?: AbortSignal) => Promise<readonly CloudInstance[]>;
};
