// Clients that nobody controls (letters): each sends the head of a request and chunks of its body, stops short of the
// end and stays open. Usage: strangers.mjs PORT COUNT CHUNK_BYTES CHUNKS ROUTE MANNER PER_SECOND BYTES_PER_SECOND. When
// `followed`, another one comes for each whose connection was closed. All together send at most BYTES_PER_SECOND.
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const [port, count, chunkBytes, chunks] = process.argv.slice(2, 6).map(Number);
const [, , , , , , route, manner, perSecond, bytesPerSecond] = process.argv;
const isFollowed = manner === 'followed';
const returnMs = 50;
const tickMs = 10;
const msPerSecond = 1_000;
const writeBytes = 131_072;
const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
const body = Buffer.from(chunk.repeat(chunks));
/** Bytes of the body that have been sent, by connection with more to send; longest unserved first. */
const sending = new Map();
let open = 0;
let closed = 0;
let sentBytes = 0;
let allowance = 0;
let allowedAt = Date.now();

function start(number) {
  const socket = connect({ host: '127.0.0.1', port });
  // They don't read their answers, but for those that are followed by others.
  if (isFollowed) socket.resume();
  else socket.pause();
  socket.on('error', () => undefined);
  socket.on('close', () => {
    closed += 1;
    sending.delete(socket);
    if (isFollowed) setTimeout(() => start(number), returnMs);
  });
  socket.once('connect', () => {
    open += 1;
    const id = `Laburnumstream-Request-Id: stranger-${number}`;
    socket.write(
      `POST /${route}/x HTTP/1.1\r\nHost: desk.example\r\n${id}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    );
    sending.set(socket, 0);
  });
}

/** Sends what the rate allows since the last call; what it allowed and nobody took does not add up. */
function sendMore() {
  const now = Date.now();
  allowance = Math.min(allowance, 0) + ((now - allowedAt) * Number(bytesPerSecond)) / msPerSecond;
  allowedAt = now;
  for (const [socket, from] of [...sending]) {
    if (allowance <= 0) return;
    if (socket.writableLength === 0) {
      const part = body.subarray(from, from + writeBytes);
      socket.write(part);
      allowance -= part.length;
      sentBytes += part.length;
      sending.delete(socket);
      if (from + part.length < body.length) sending.set(socket, from + part.length);
    }
  }
}

setInterval(sendMore, tickMs);
setInterval(() => {
  const megabytes = (sentBytes / 1e6).toFixed(1);
  process.stdout.write(`strangers: ${open} connected, ${closed} closed, ${megabytes} MB sent\n`);
}, msPerSecond);
const startedAt = Date.now();
for (let number = 1; number <= count; number += 1) {
  start(number);
  const dueAt = startedAt + (number * msPerSecond) / Number(perSecond);
  if (dueAt > Date.now()) await sleep(dueAt - Date.now());
}
