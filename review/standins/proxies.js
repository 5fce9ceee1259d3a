/* eslint camelcase: "off" -- the platform gives the names of the fields */
/**
 * Starts the project's program as the deploy file does, one process a machine, with settings of a small deployment.
 */
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {once} from 'node:events';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Ports below those of outgoing connections, one of which could take the port of a process that starts again. */
const firstPort = 20_000;
const portCount = 12_000;
const restartDelayMs = 300;
const takenPorts = new Set();

async function findFreePort() {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (!takenPorts.has(port) && await isFree(port)) {
			takenPorts.add(port);
			return port;
		}
	}
}

async function isFree(port) {
	const probe = createServer();
	try {
		probe.listen(port, '127.0.0.1');
		await once(probe, 'listening');
		return true;
	} catch {
		return false;
	} finally {
		probe.close();
	}
}

/** Reads the command of the one role from the deploy file. */
function deployedCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/mv.exec(text).groups.command.split(' ');
}

export class Proxy {
	/** Number of times that the process ended by itself. */
	exits = 0;

	/**
	 * @param name - name of the machine
	 * @param options - directory of settings and logs, zone of the machine, addresses of the store and of the promotion service, further settings
	 */
	constructor(name, options) {
		Object.assign(this, {name, ...options});
		this.settingsFile = path.join(this.directory, `${name}.conf`);
	}

	async configure() {
		const [front, ready, metrics] = [await findFreePort(), await findFreePort(), await findFreePort()];
		this.frontPort = front;
		this.readyPort = ready;
		const fields = {
			node_name: this.name,
			role: 'proxy',
			machine_class: 'front',
			serves: 'front',
			ip: '127.0.0.1',
			zone: this.zone,
			region: 'tx-central',
			'listen.front': `127.0.0.1:${front}`,
			'listen.ready': `127.0.0.1:${ready}`,
			internal_ports: `${metrics},${metrics}`,
			bootstrap: 'true',
			heartbeat_ms: 1200,
			'bounds.stability_window_ms': 4000,
			'bounds.drain_ms': 7000,
			'bounds.grace_s': 6,
			'bounds.config_apply_ms': 3000,
			'bounds.recovery_s': 12,
			'bounds.require_fencing': 'false',
			'platform.address': this.storeAddress,
			'platform.form': 'kv',
			'platform.min_ttl_ms': 1000,
			'cloud.address': this.promotionAddress,
			'cloud.duties': 'promotion',
			'cloud.duty_per_s': '50.0',
		};
		writeFileSync(this.settingsFile, Object.entries(fields).map(([key, value]) => `${key}=${value}`).join('\n'));
	}

	start() {
		const [program, ...words] = deployedCommand();
		this.child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, CROCUSLOOM_BOOT: this.settingsFile}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.directory, `${this.name}.log`), {flags: 'a'});
		this.child.stdout.pipe(log, {end: false});
		this.child.stderr.pipe(log, {end: false});
		this.isEnding = false;
		this.child.once('exit', () => {
			// The platform starts a process again that ended by itself.
			if (!this.isEnding) {
				this.exits++;
				setTimeout(() => {
					if (!this.isEnding) {
						this.start();
					}
				}, restartDelayMs);
			}
		});
	}

	/** Sends a signal and waits for the end of the process. */
	async end(signal) {
		this.isEnding = true;
		if (this.child?.exitCode === null && this.child.signalCode === null) {
			this.child.kill(signal);
			await once(this.child, 'exit');
		}
	}

	/** Checks the readiness as the platform does. */
	async isReady() {
		try {
			const response = await fetch(`http://127.0.0.1:${this.readyPort}/readiness`);
			return response.status === 200;
		} catch {
			return false;
		}
	}
}
