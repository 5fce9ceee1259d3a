/**
 * The streaming watch of the gateway: one JSON line for each batch of events.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {encodeEntry, rangeOf, type Gateway} from './gateway.js';
import {type Store, type StoreEvent} from './store.js';

type Fields = Readonly<Record<string, any>>;

/** Interval of progress notifications for watches that ask for them. */
const progressMs = 1000;

/** Serves one watch until its connection ends. Requests after the first line are not read. */
export class Watch {
	private nextRevision: number;

	/**
	 * @param create - the `create_request`
	 * @param isPassing - false while events must be held back
	 */
	constructor(private readonly store: Store, private readonly gateway: Gateway, private readonly create: Fields, private readonly isPassing: () => boolean) {
		const start = Number(create.start_revision ?? 0);
		this.nextRevision = start > 0 ? start : store.revision + 1;
	}

	/** Starts the stream. */
	start(request: IncomingMessage, response: ServerResponse): void {
		response.writeHead(200, {'content-type': 'application/json'});
		this.send(response, {created: true});
		const sendEvents = () => {
			this.sendEvents(response);
		};

		const timer = setInterval(() => {
			this.sendEvents(response);
			if (this.create.progress_notify && this.isPassing()) {
				this.send(response, {});
			}
		}, progressMs);
		this.store.on('change', sendEvents);
		response.on('close', () => {
			this.store.off('change', sendEvents);
			clearInterval(timer);
		});
		request.resume();
		this.sendEvents(response);
	}

	private sendEvents(response: ServerResponse): void {
		if (!this.isPassing()) {
			return;
		}

		const events = this.store.eventsSince(this.nextRevision, rangeOf(this.create));
		this.nextRevision = Math.max(this.nextRevision, this.store.revision + 1);
		if (events.length > 0) {
			this.send(response, {events: events.map(event => encodeEvent(event))});
		}
	}

	private send(response: ServerResponse, result: Fields): void {
		response.write(`${JSON.stringify({result: {header: this.gateway.header(), watch_id: '0', ...result}})}\n`);
	}
}

/** PUT is the default of the event type, which the gateway leaves out. */
function encodeEvent({type, entry}: StoreEvent): Fields {
	if (type === 'DELETE') {
		return {type, kv: {key: encodeEntry(entry).key as string, mod_revision: String(entry.modRevision)}};
	}

	return {kv: encodeEntry(entry)};
}
