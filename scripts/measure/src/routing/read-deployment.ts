import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {deploymentSchema, type Deployment} from './deployment.js';

/** Reads experiments/deployments/NAME.toml. Throws an error that lists every mistake with its position. */
export const readDeployment = (name: string): Deployment => {
	const file = fileURLToPath(new URL(`../../experiments/deployments/${name}.toml`, import.meta.url));
	const result = readToml(readFileSync(file, 'utf8'), deploymentSchema);
	if (result.kind === 'mistakes') {
		throw new Error(result.mistakes.map(mistake => formatMistake(file, mistake)).join('\n'));
	}

	return result.value;
};
