/** Schema of the platform's instance list. */
import * as z from 'zod';

export const listedInstanceSchema = z.object({
	id: z.string().min(1),
	address: z.string().min(1),
	role: z.enum(['entry', 'backend']),
	availabilityZone: z.string(),
	machineClass: z.string().default('default'),
	state: z.enum(['live', 'leaving']),
	leavesAt: z.number().optional(),
	services: z.array(z.string()).default([]),
});

export const instanceListSchema = z.object({
	version: z.number(),
	instances: z.array(listedInstanceSchema),
});

export type ListedInstance = z.output<typeof listedInstanceSchema>;
export type InstanceList = z.output<typeof instanceListSchema>;
