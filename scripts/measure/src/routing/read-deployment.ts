import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {deploymentSchema, type Deployment} from './deployment.js';

/** Reads a file of experiments/deployments, named without its ending. Throws with each mistake's place. */
export const readDeployment = (name: string): Deployment => {
	const file = fileURLToPath(new URL(`../../experiments/deployments/${name}.toml`, import.meta.url));
	const reading = readToml(readFileSync(file, 'utf8'), deploymentSchema);
	if (reading.kind === 'mistakes') {
		throw new Error(reading.mistakes.map(mistake => formatMistake(file, mistake)).join('\n'));
	}

	return reading.value;
};
