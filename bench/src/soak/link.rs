//! A TCP proxy on a loopback address, which stands for a link and disturbs the connections over it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// Size of the buffer of each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 8 << 10;
/// First bytes of a response, which a garbling link replaces.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// How a link treats the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weather {
    /// Passes them on.
    #[default]
    Clear,
    /// Passes them on after this many milliseconds.
    Delay(u64),
    /// Resets all connections at the moment it is set, and new ones from then on.
    Reset,
    /// Holds bytes to the server until it is over.
    CutToServer,
    /// Holds bytes to the client until it is over.
    CutToClient,
    /// Swallows all bytes of connections that are open when it is set, for good.
    Silence,
    /// Resets each connection after this many more bytes.
    DropAfter(u64),
    /// Replaces the first bytes of responses.
    Garble,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Weather with a number that rises with each change, so that connections tell a new spell of the
/// same weather from the one that they began in.
type Spell = (u64, Weather);

/// A running proxy; dropping it closes its address and its connections.
#[derive(Debug)]
pub struct Link {
    /// Address that leads to the target.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    weather: watch::Sender<Spell>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts a link to a target at a new loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error when no address can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let (weather, receiver) = watch::channel((0, Weather::Clear));
        let shared_target = target.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let target = *shared_target.lock().unwrap_or_else(PoisonError::into_inner);
                tokio::spawn(connect(client, target, receiver.clone()));
            }
        });
        Ok(Link { address, target, weather, task })
    }

    /// Leads new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Sets how bytes are treated from now on.
    pub fn set_weather(&self, weather: Weather) {
        self.weather.send_modify(|it| *it = (it.0 + 1, weather));
    }
}

async fn connect(mut client: TcpStream, target: SocketAddr, weather: watch::Receiver<Spell>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    // Nagle's algorithm would add delays of its own. Setting it cannot fail on an open socket.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let budget = AtomicU64::new(u64::MAX);
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let to_server = pump(client_read, server_write, Direction::ToServer, weather.clone(), &budget);
    let to_client = pump(server_read, client_write, Direction::ToClient, weather, &budget);
    if tokio::try_join!(to_server, to_client).is_err() {
        reset(&client);
        reset(&server);
    }
}

/// Makes the kernel reset the connection when it is closed.
fn reset(stream: &TcpStream) {
    // The socket may already be closed by the other side.
    let _ = stream.set_zero_linger();
}

/// Asks to reset both sides of a connection.
struct Broken;

/// Passes on the bytes of one direction until its end.
async fn pump(
    mut read: ReadHalf<'_>,
    mut write: WriteHalf<'_>,
    direction: Direction,
    mut weather: watch::Receiver<Spell>,
    budget: &AtomicU64,
) -> Result<(), Broken> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut silenced = false;
    let mut spell = *weather.borrow_and_update();
    if spell.1 == Weather::Reset {
        return Err(Broken);
    }
    loop {
        let count = tokio::select! {
            it = read.read(&mut buffer) => it.map_err(|_| Broken)?,
            changed = weather.changed() => {
                changed.map_err(|_| Broken)?;
                spell = *weather.borrow_and_update();
                match spell.1 {
                    Weather::Reset => return Err(Broken),
                    Weather::Silence => silenced = true,
                    Weather::DropAfter(bytes) => budget.store(bytes, Ordering::Relaxed),
                    _ => budget.store(u64::MAX, Ordering::Relaxed),
                }
                continue;
            }
        };
        match (spell.1, direction) {
            (Weather::Delay(millis), _) => sleep(Duration::from_millis(millis)).await,
            (Weather::CutToServer, Direction::ToServer)
            | (Weather::CutToClient, Direction::ToClient) => {
                let held = spell.0;
                weather.wait_for(|it| it.0 != held).await.map_err(|_| Broken)?;
            }
            (Weather::Garble, Direction::ToClient) if buffer.starts_with(RESPONSE_START) => {
                buffer[..RESPONSE_START.len()].fill(b'?');
            }
            _ => {}
        }
        if silenced {
            // The end of a silenced connection is not told either: its users' own timeouts tell.
            if count == 0 {
                return Ok(());
            }
            continue;
        }
        if count == 0 {
            return write.shutdown().await.map_err(|_| Broken);
        }
        let left = budget.load(Ordering::Relaxed);
        let passed = count.min(usize::try_from(left).unwrap_or(usize::MAX));
        if left != u64::MAX {
            budget.store(left - passed as u64, Ordering::Relaxed);
        }
        write.write_all(&buffer[..passed]).await.map_err(|_| Broken)?;
        if passed < count {
            return Err(Broken);
        }
    }
}
