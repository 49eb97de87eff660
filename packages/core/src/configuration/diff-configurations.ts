/** Lists the entries that a new configuration would add, remove or change. */
import {type Configuration} from '@shallotpass/common/configuration-schema.js';

export type ConfigurationChange = {
	readonly table: string;
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
};

type Tables = Readonly<Record<string, ReadonlyMap<string, unknown>>>;

const listTables = (configuration: Configuration | undefined): Tables => ({
	class: new Map(configuration?.class.map(item => [item.name, item])),
	service: new Map(configuration?.service.map(item => [item.name, item])),
	account: new Map(configuration?.account.map(item => [item.name, item])),
	backend: new Map(configuration?.backend.map(item => [item.id, item])),
	price: new Map(configuration?.price.map(item => [`${item.availabilityZone} ${item.machineClass}`, item])),
	creditsExpireAt: new Map(configuration?.creditsExpireAt === undefined ? [] : [['credits_expire_at', configuration.creditsExpireAt]]),
});

const diffTable = (table: string, before: ReadonlyMap<string, unknown>, after: ReadonlyMap<string, unknown>): ConfigurationChange[] => {
	const changes: ConfigurationChange[] = [];
	for (const [name, item] of after) {
		const old = before.get(name);
		if (old === undefined) {
			changes.push({table, name, change: 'added'});
		} else if (JSON.stringify(old) !== JSON.stringify(item)) {
			changes.push({table, name, change: 'changed'});
		}
	}

	for (const name of before.keys()) {
		if (!after.has(name)) {
			changes.push({table, name, change: 'removed'});
		}
	}

	return changes;
};

export const diffConfigurations = (before: Configuration | undefined, after: Configuration): ConfigurationChange[] => {
	const old = listTables(before);
	return Object.entries(listTables(after)).flatMap(([table, items]) => diffTable(table, old[table] ?? new Map(), items));
};
