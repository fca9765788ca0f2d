// Clients that send many requests ahead on one connection each, without the usual headers, and read no answers.
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const [port, clients, ahead, seconds] = process.argv.slice(2, 6).map(Number);
const host = process.argv[6] ?? '127.0.0.1';
const requests = 'GET /status/all HTTP/1.1\r\nHost: desk.example\r\n\r\n'.repeat(ahead);
for (let client = 0; client < clients; client += 1) {
  const socket = connect({ host, port });
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(requests);
  if (client % 20 === 0) await sleep(5);
}
process.stdout.write('sent\n');
await sleep(seconds * 1_000);
process.exit(0);
