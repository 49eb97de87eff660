/** Interface to the cloud API that starts and ends instances. The provider package implements it. */

export type CloudInstance = {
	readonly id: string;
	/** Idempotency token of the request that started the instance. */
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
	/** The cloud has no capacity for such an instance at the moment. */
	| 'refused'
	/** The instance of this token was started earlier and has already ended. */
	| 'ended';

/**
 * Starts and ends instances. A rejected call may still have taken effect. Starts are idempotent
 * by token, so the caller can safely retry with the same token.
 */
export type CloudService = {
	readonly start: (options: StartOptions) => Promise<StartReply>;
	/** Does nothing if the instance no longer exists. */
	readonly end: (id: string, signal?: AbortSignal) => Promise<void>;
	readonly list: (signal?: AbortSignal) => Promise<readonly CloudInstance[]>;
};
