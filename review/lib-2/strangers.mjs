// Clients that nobody controls (letters): each sends the head of a request and chunks of its body, stops short of the
// end and stays open. Usage: strangers.mjs PORT COUNT CHUNK_BYTES CHUNKS ROUTE MANNER PER_SECOND. When `followed`, another one comes
// for each whose connection was closed.
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const [port, count, chunkBytes, chunks] = process.argv.slice(2, 6).map(Number);
const [, , , , , , route, manner, perSecond] = process.argv;
const isFollowed = manner === 'followed';
const returnMs = 50;
const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
const perBlock = Math.max(1, Math.floor(65_536 / chunk.length));
const block = Buffer.from(chunk.repeat(perBlock));
const rest = Buffer.from(chunk.repeat(chunks % perBlock));
let open = 0;
let closed = 0;

function start(number) {
  const socket = connect({ host: '127.0.0.1', port });
  // They don't read their answers, but for those that are followed by others.
  if (isFollowed) socket.resume();
  else socket.pause();
  socket.on('error', () => undefined);
  socket.on('close', () => {
    closed += 1;
    if (isFollowed) setTimeout(() => start(number), returnMs);
  });
  socket.once('connect', () => {
    open += 1;
    const id = `Laburnumstream-Request-Id: stranger-${number}`;
    socket.write(
      `POST /${route}/x HTTP/1.1\r\nHost: desk.example\r\n${id}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    );
    for (let sent = perBlock; sent <= chunks; sent += perBlock) socket.write(block);
    if (rest.length > 0) socket.write(rest);
  });
}

setInterval(() => process.stdout.write(`strangers: ${open} connected, ${closed} closed\n`), 1_000);
const startedAt = Date.now();
for (let number = 1; number <= count; number += 1) {
  start(number);
  const dueAt = startedAt + (number * 1_000) / Number(perSecond);
  if (dueAt > Date.now()) await sleep(dueAt - Date.now());
}
