/** Decodes the shared state that a peer answers. Parts without a meaning are left out, and the others apply. */
import {decodeValue} from '@shallotpass/common/decode-json.js';
import {servingConfigurationSchema} from '@shallotpass/core/calls/configuration-schema.js';
import {peerBackendSchema} from '@shallotpass/core/directory/entry-schema.js';
import {gossipMemberSchema} from '@shallotpass/core/gossip/gossip-member.js';
import {storeVersionsSchema} from '@shallotpass/core/gossip/gossip-report.js';
import * as z from 'zod';
import {decodeList} from './decode-list.js';
import {type SharedState} from './shared-state.js';

const sharedStateSchema = storeVersionsSchema.omit({members: true}).extend({
	configuration: z.unknown().optional(),
	backends: z.array(z.unknown()).optional(),
	members: z.array(z.unknown()).optional(),
});

/** Called with the path of each field without a meaning. */
type OnRefused = (field: string) => void;

const decodePart = <Schema extends z.ZodType>(raw: unknown, schema: Schema, name: string, onRefused: OnRefused): z.output<Schema> | undefined => {
	const decoded = decodeValue(raw, schema);
	if (decoded.kind === 'decoded') {
		return decoded.value;
	}

	onRefused(`${name}.${decoded.field}`);
	return undefined;
};

/** Returns undefined if the answer as a whole has no meaning. */
export const decodeSharedState = (raw: unknown, onRefused: OnRefused): SharedState | undefined => {
	const decoded = decodeValue(raw, sharedStateSchema);
	if (decoded.kind === 'refused') {
		onRefused(decoded.field);
		return undefined;
	}

	const {configuration, backends, members, ...known} = decoded.value;
	return {
		...known,
		...(configuration !== undefined && {configuration: decodePart(configuration, servingConfigurationSchema, 'configuration', onRefused)}),
		...(backends !== undefined && {
			backends: decodeList(backends, peerBackendSchema, field => {
				onRefused(`backends.${field}`);
			}),
		}),
		...(members !== undefined && {
			members: decodeList(members, gossipMemberSchema, field => {
				onRefused(`members.${field}`);
			}),
		}),
	};
};
