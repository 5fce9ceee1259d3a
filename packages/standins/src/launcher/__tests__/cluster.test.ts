import {specSchemas} from '@crocusloom/model';
import {assert} from 'chai';
import {parse} from 'ini';
import {Cluster} from '../cluster.js';
import {brazos, deployments} from '../deployments.js';
import {buildResources} from '../resources.js';
import {formatSettings} from '../settings.js';

const address = () => ({host: '127.0.0.1', port: 5432});

describe('launcher', () => {
	for (const deployment of deployments) {
		it(`${deployment.name}: guards against resources that the schemas reject`, () => {
			for (const {kind, name, spec} of buildResources(deployment, address)) {
				assert.deepEqual(specSchemas[kind].safeParse(spec).error?.issues, undefined, `${kind} ${name}`);
			}
		});

		it(`${deployment.name}: guards against a group that loses its majority with one failure domain`, () => {
			for (const {name, databases} of deployment.groups) {
				assert.equal(new Set(databases.map(({failureDomain}) => failureDomain)).size, 3, name);
			}

			assert.equal(new Set(deployment.groups.map(({databases}) => databases[0]!.failureDomain)).size, 3);
		});
	}

	it('guards against a settings file whose keys differ from those that crocusloomd reads', () => {
		const text = formatSettings({
			deployment: brazos,
			proxy: brazos.proxies[0]!,
			address: '127.0.0.1',
			ports: {
				callers: 1, peers: 2, work: 3, operators: 4,
			},
			seeds: ['127.0.0.1:5', '127.0.0.1:6'],
			platformUrl: 'http://127.0.0.1:7',
			users: {demo: 'demo'},
			logLevel: 'info',
		});
		assert.deepEqual(structuredClone(parse(text)), {
			host: {
				name: 'brazos-proxy-1', deployment: 'brazos', failureDomain: 'bryan', region: 'tx-central',
			},
			callers: {address: '127.0.0.1', port: '1'},
			peers: {
				address: '127.0.0.1', port: '2', workPort: '3', seeds: '127.0.0.1:5,127.0.0.1:6',
			},
			operators: {address: '127.0.0.1', port: '4'},
			platform: {url: 'http://127.0.0.1:7'},
			users: {demo: 'demo'},
			log: {level: 'info'},
		});
	});

	it('guards against processes that keep running after stop, and a restarted primary that is still primary', async () => {
		const cluster = new Cluster([{...brazos, groups: brazos.groups.slice(0, 1)}], {hasProxies: false});
		await cluster.start();
		const {processes} = cluster.endpoints();
		const primary = processes.find(({kind}) => kind === 'database')!;
		const fetchStatus = async () => {
			const response = await fetch(`${primary.controlUrl}/status`);
			return await response.json() as {readonly role: string; readonly fencedTerm: number};
		};

		const statusBefore = await fetchStatus();
		await cluster.kill(primary.name);
		await cluster.restart(primary.name);
		const statusAfter = await fetchStatus();
		cluster.pause(primary.name);
		await cluster.stop();
		assert.deepEqual(processes.map(({name}) => cluster.process(name).isRunning), processes.map(() => false));
		assert.deepEqual([statusBefore.role, statusBefore.fencedTerm], ['primary', 1]);
		assert.deepEqual([statusAfter.role, statusAfter.fencedTerm], ['replica', 0]);
	});

	it('guards against processes that keep running when another one cannot start', async () => {
		const cluster = new Cluster([brazos], {daemonScript: '/nonexistent/main.js'});
		const message = await cluster.start().then(() => '', (error: unknown) => (error as Error).message);
		assert.include(message, 'ENOENT');
		assert.isTrue(cluster.endpoints().processes.every(({pid}) => pid === 0));
	});
});
