import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { PlatformMain, PlatformProgram, makeEntrySettings } from '@laburnumstream/bench';
import { FleetDatagrams } from '@laburnumstream/links';
import { HistogramMetrics, SystemClock } from '@laburnumstream/runtime';
import { sha256Hex } from './stagingEngine.js';

const model = 'm1';
const layers = 4;
const pieces = 2;
/** Bytes of a piece: 350 ms at the share of the link that pieces may use beside running requests. */
const pieceBytes = 300_000;
const linkMbps = '8';
const announceIntervalMs = 200;
const hosts = { agent: '127.0.0.1', entry: '127.0.0.2' } as const;
const silentLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function getPiece(piece: number): Buffer {
  return Buffer.alloc(pieceBytes, `piece ${piece} `);
}

type Handler = (url: URL, response: ServerResponse) => void;

/** Serves the first handler whose key the path begins with. */
async function serve(handlers: Readonly<Record<string, Handler>>): Promise<Server> {
  const server = createServer((request: IncomingMessage, response) => {
    request.resume();
    const url = new URL(request.url ?? '/', 'http://local');
    const key = Object.keys(handlers).find((path) => url.pathname.startsWith(path));
    if (key) handlers[key]!(url, response);
    else response.writeHead(404).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, hosts.agent, () => resolve());
  });
  return server;
}

function getAddress(server: Server): string {
  return `${hosts.agent}:${(server.address() as AddressInfo).port}`;
}

/** An engine that runs a request all the time, so that transfers leave room for its events. */
function serveEngine(): Promise<Server> {
  const report = { born: 1, Active: 1, Queued: 0, Busy: false, Seq: 0 };
  const held = { From: 0, To: layers, Version: 1 };
  return serve({
    '/-/report': (_url, response) => response.end(JSON.stringify({ ...report, layers: held })),
  });
}

function serveOrigin(): Promise<Server> {
  const digests = Array.from({ length: pieces }, (_, piece) => sha256Hex(getPiece(piece)));
  const manifest = { Model: model, Version: 1, Digests: digests };
  return serve({
    '/-/manifest/': (_url, response) => response.end(JSON.stringify(manifest)),
    '/-/piece/': ({ searchParams }, response) =>
      response.end(getPiece(Number(searchParams.get('Num')))),
  });
}

/** What an agent is started with. */
export interface AgentOptions {
  /** Its engine; by default one that serves version 1. */
  readonly engine?: Server;
  /** Flags of Node.js. */
  readonly flags?: readonly string[];
}

/** An agent in its own process beside an engine, with an origin and an entry that names version 1. */
export class AgentProgram {
  readonly program: PlatformProgram;

  private readonly abort = new AbortController();

  private constructor(
    private readonly firstPort: number,
    private readonly servers: readonly Server[],
    flags: readonly string[],
  ) {
    this.program = new PlatformProgram({ main: PlatformMain.agent, flags });
  }

  static async start(options: AgentOptions = {}): Promise<AgentProgram> {
    const engine = options.engine ?? (await serveEngine());
    const origin = await serveOrigin();
    const lines = await makeEntrySettings(getAddress(engine));
    const firstPort = Number(lines.PortRange!.split(',')[0]);
    const agent = new AgentProgram(firstPort, [engine, origin], options.flags ?? []);
    const own = { app: getAddress(engine), Service: 'model', 'Limits.LinkMbps': linkMbps };
    agent.program.write({ ...lines, ...own });
    await agent.program.start();
    await agent.announce(getAddress(origin));
    return agent;
  }

  /** URL of a piece that it serves to other agents. */
  getPieceUrl(piece: number): string {
    return `http://${hosts.agent}:${this.firstPort + 1}/weights/1/${piece}`;
  }

  /** Length of each piece. */
  get pieceBytes(): number {
    return pieceBytes;
  }

  close(): void {
    this.abort.abort();
    this.program.close();
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  private async announce(origin: string): Promise<void> {
    const { signal } = this.abort;
    const metrics = new HistogramMetrics();
    const entry = new FleetDatagrams('front-1', {}, new SystemClock(), metrics, silentLog);
    await entry.bind(hosts.entry, this.firstPort, signal);
    const value = {
      reportEveryMs: 300,
      weights: {
        model,
        version: 1,
        namedMsAgo: 0,
        origin,
        originDataCentre: 'a',
        originKbitPerS: 1_000_000,
        layers,
        chunks: pieces,
        chunkBytes: pieceBytes,
        loadMs: 10,
        members: [{ host: hosts.agent, dataCentre: 'a', version: 0 }],
      },
    };
    const send = (): void => entry.send({ case: 'fleet', value }, hosts.agent);
    const timer = setInterval(send, announceIntervalMs);
    signal.addEventListener('abort', () => clearInterval(timer));
  }
}
